"""Starts an entry host without the command line, whose import would double the time to start.

``python -m balsamrail.entry FILE`` does what ``balsamrail entry --settings FILE`` does.
"""

import sys

from balsamrail.entry.serve import serve_file

if __name__ == '__main__':
    sys.exit(serve_file(sys.argv[1]))
