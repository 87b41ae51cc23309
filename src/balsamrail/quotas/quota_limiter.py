"""Decides whether requests of customers are within their quotas."""

import asyncio
import math
from collections.abc import Callable
from functools import partial
from typing import Any

from balsamrail.catalog.customer import Customer
from balsamrail.environment import Environment
from balsamrail.errors import QuotaExceededError
from balsamrail.membership.network import Network
from balsamrail.quotas.customer_tokens import CustomerTokens
from balsamrail.quotas.limited_customers import LimitedCustomers
from balsamrail.quotas.local_window import LocalWindow
from balsamrail.quotas.quota_fleet import QuotaFleet
from balsamrail.quotas.quota_grant import QuotaGrant
from balsamrail.quotas.quota_messenger import QuotaMessenger
from balsamrail.quotas.quota_terms import MAX_RUN_DELAY_S
from balsamrail.quotas.refusal_delay import retry_after_s
from balsamrail.quotas.token_seeker import TokenSeeker

_TICK_INTERVAL_S = 0.25
# With 1 s, one or two requests in 6,000 were refused while a coordinator was being replaced.
_MAX_WAIT_S = 1.5
_MAX_WAITING = 256
_IDLE_TIMEOUT_S = 60
_RECOVERY_S = 5.0


class QuotaLimiter:
    """Takes a part of the quota for each request of a customer that has one.

    A host runs a few requests in each window without asking. Beyond these it needs tokens, and asks the customer's coordinators, and the request waits for their reply.
    While these have none left, the host refuses further requests at once, and asks again about
    every quarter of a second.

    :param customers: returns the customers of the manifest in force.
    """

    __slots__ = (
        '_environment',
        '_limited',
        '_messenger',
        '_seeker',
        '_starts_at',
        '_tokens_by_customer',
        '_window_s',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        network: Network,
        fleet: QuotaFleet,
        customers: Callable[[], tuple[Customer, ...]],
    ) -> None:
        self._environment = environment
        self._window_s = environment.settings.bounds.quota_window_s + MAX_RUN_DELAY_S
        self._starts_at = environment.clock.boottime() + self._window_s
        self._limited = LimitedCustomers(
            environment=environment, customers=customers, fleet_size=fleet.size
        )
        self._tokens_by_customer: dict[str, CustomerTokens] = {}
        self._messenger = QuotaMessenger(
            environment=environment, network=network, fleet=fleet, limited=self._limited
        )
        self._seeker = TokenSeeker(
            environment=environment,
            messenger=self._messenger,
            limited=self._limited,
            fleet=fleet,
            tokens_by_customer=self._tokens_by_customer,
        )

    async def acquire(self, customer: Customer, *, is_urgent: bool) -> QuotaGrant:
        """Return the permission to run one request of a customer.

        :param is_urgent: the request is one of the most urgent; it gets a token before others, and the
            coordinators are asked for it although they had none for others.
        :raises QuotaExceededError: if the requests of the customer exceed its quota.
        """
        if not customer.is_limited:
            return QuotaGrant()
        now = self._now()
        tokens = self._tokens_of(customer, now)
        tokens.note_offered(now=now)
        if tokens.local.take(limit=tokens.terms.local_limit, now=now):
            return QuotaGrant(put_back=partial(tokens.local.put_back, now))
        expires_at = tokens.take(now=now)
        if expires_at is None:
            is_refused = now < tokens.refuses_until and not is_urgent
            if is_refused or len(tokens.waiting) >= _MAX_WAITING:
                raise self._refusal(tokens)
            expires_at = await self._wait(tokens, is_urgent=is_urgent)
        if expires_at == math.inf:
            return QuotaGrant()
        # This process may have been suspended since the token arrived.
        if expires_at <= self._now():
            raise self._refusal(tokens)
        return QuotaGrant(put_back=partial(tokens.put_back, expires_at))

    async def run(self) -> None:
        """Keep this host's share delegated until cancelled."""
        while True:
            await asyncio.sleep(_TICK_INTERVAL_S)
            if self._limited.terms_by_customer():
                self._seeker.maintain()
            self._messenger.forget_customers()
            self._forget_idle()

    def limited_count(self) -> int:
        """Return the number of customers of which this host refuses requests."""
        return sum(tokens.is_refusing for tokens in self._tokens_by_customer.values())

    def dump(self) -> dict[str, Any]:
        """Return the state of the active customers and of the roles as plain data."""
        now = self._now()
        return {
            'customers': {
                name: tokens.dump(now=now) for name, tokens in self._tokens_by_customer.items()
            },
            **self._messenger.dump(),
        }

    async def _wait(self, tokens: CustomerTokens, *, is_urgent: bool) -> float:
        waiter = tokens.waiting.add(is_urgent=is_urgent)
        self._seeker.seek(tokens)
        try:
            async with asyncio.timeout(_MAX_WAIT_S):
                return await waiter
        except TimeoutError:
            self._environment.metrics.count('quota_fallbacks')
            return self._result_of(waiter)
        except asyncio.CancelledError:
            expires_at = self._result_of(waiter)
            if math.isfinite(expires_at):
                tokens.put_back(expires_at)
            raise

    def _result_of(self, waiter: asyncio.Future[float]) -> float:
        return waiter.result() if waiter.done() and not waiter.cancelled() else -math.inf

    def _tokens_of(self, customer: Customer, now: float) -> CustomerTokens:
        tokens = self._tokens_by_customer.get(customer.name)
        terms = self._limited.terms_of(customer)
        if tokens is None:
            tokens = CustomerTokens(
                customer=customer,
                terms=terms,
                now=now,
                local=LocalWindow(window_s=self._window_s, starts_at=self._starts_at),
            )
            self._tokens_by_customer[customer.name] = tokens
        tokens.customer = customer
        tokens.terms = terms
        return tokens

    def _refusal(self, tokens: CustomerTokens) -> QuotaExceededError:
        name = tokens.customer.name
        tokens.last_refused_at = self._now()
        self._environment.metrics.count('quota_refusals')
        if not tokens.is_refusing:
            tokens.is_refusing = True
            self._environment.log.event(
                'quota_limited',
                customer=name,
                rate_per_s=tokens.customer.rate_per_s,
                **self._share(tokens),
            )
        bounds = self._environment.settings.bounds
        return QuotaExceededError(
            detail=f'the requests of customer {name!r} exceed its quota',
            retry_after_s=retry_after_s(tokens, window_s=bounds.quota_window_s),
        )

    def _share(self, tokens: CustomerTokens) -> dict[str, float]:
        """Return this host's need of tokens and the demand at all hosts, per second."""
        share = tokens.dump(now=self._now())
        return {name: share[name] for name in ('needed_per_s', 'demand_per_s')}

    def _forget_idle(self) -> None:
        now = self._now()
        for name, tokens in list(self._tokens_by_customer.items()):
            if tokens.is_refusing and now - tokens.last_refused_at >= _RECOVERY_S:
                tokens.is_refusing = False
                self._environment.log.event(
                    'quota_unlimited', customer=name, **self._share(tokens)
                )
            if now - tokens.last_offered_at >= _IDLE_TIMEOUT_S:
                del self._tokens_by_customer[name]

    def _now(self) -> float:
        return self._environment.clock.boottime()
