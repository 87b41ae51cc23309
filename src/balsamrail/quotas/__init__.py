"""Limits the requests that all hosts together run for a customer."""

from balsamrail.quotas.quota_fleet import MemberQuotaFleet
from balsamrail.quotas.quota_grant import QuotaGrant
from balsamrail.quotas.quota_limiter import QuotaLimiter

__all__ = ('MemberQuotaFleet', 'QuotaGrant', 'QuotaLimiter')
