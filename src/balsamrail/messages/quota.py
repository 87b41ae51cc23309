"""Messages by which hosts share the quotas of customers."""

from balsamrail.messages.quota_ask import QuotaAsk
from balsamrail.messages.quota_reply import QuotaReply

__all__ = ('QuotaAsk', 'QuotaReply')
