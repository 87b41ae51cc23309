"""A target entry in the format of the platform's store."""

TARGET = {
    'state': 'ready',
    'address': '127.0.0.1:9',
    'zone': 'attiki-a',
    'service': 'lepu',
    'slots': 2,
}
