"""Routes callers' requests to targets."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from balsamrail.catalog.catalog import Catalog
from balsamrail.delivery.crash_detector import CrashDetector
from balsamrail.delivery.customer_limits import CustomerLimits
from balsamrail.delivery.delivery_plan import DeliveryPlan
from balsamrail.delivery.delivery_planner import DeliveryPlanner
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.http_message import HttpResponse
from balsamrail.delivery.manifest_freshness import ALWAYS_CONFIRMED, ManifestFreshness
from balsamrail.delivery.request_executor import RequestExecutor
from balsamrail.delivery.request_explainer import RequestExplainer
from balsamrail.delivery.shutdown_deadline import ShutdownDeadline
from balsamrail.delivery.target_exchange import TargetExchange
from balsamrail.environment import Environment
from balsamrail.errors import NotRunError
from balsamrail.placement.exchange_sizes import ExchangeSizes
from balsamrail.placement.retry_budgets import RetryBudgets
from balsamrail.placement.target_selector import TargetSelector
from balsamrail.proxying.proxy_admission import ProxyAdmission
from balsamrail.proxying.request_proxy import RequestProxy


class Dispatcher:
    """Runs complete requests of callers and returns complete responses.

    :param admission: limits the requests that other hosts send to this one.
    :param proxy: sends requests through other hosts.
    :param freshness: tells whether API keys of the manifest in force can be relied on.
    :param customer_limits: limits the requests of customers.
    """

    __slots__ = (
        '_admission',
        '_budgets',
        '_crash_detector',
        '_customer_limits',
        '_detached_runs',
        '_environment',
        '_exchange',
        '_planner',
        '_proxy',
        '_shutdown_deadline',
        '_sizes',
        '_target_selector',
        'explainer',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        catalog: Catalog,
        target_selector: TargetSelector,
        exchange: TargetExchange,
        budgets: RetryBudgets,
        crashes: CrashDetector,
        admission: ProxyAdmission,
        proxy: RequestProxy,
        freshness: ManifestFreshness = ALWAYS_CONFIRMED,
        customer_limits: CustomerLimits,
    ) -> None:
        self._customer_limits = customer_limits
        self._admission = admission
        self._proxy = proxy
        self._environment = environment
        self._target_selector = target_selector
        self._crash_detector = crashes
        self._exchange = exchange
        self._budgets = budgets
        self._planner = DeliveryPlanner(catalog=catalog, budgets=budgets, freshness=freshness)
        self._sizes = ExchangeSizes()
        self._shutdown_deadline = ShutdownDeadline()
        self._detached_runs: set[asyncio.Task[HttpResponse]] = set()
        self.explainer = RequestExplainer(
            environment=environment,
            catalog=catalog,
            target_registry=target_selector.target_registry,
            target_selector=target_selector,
            freshness=freshness,
        )

    async def handle(self, request: EntryRequest) -> HttpResponse:
        """Return the complete response to a request.

        Cancelling the call means that the caller has disconnected: an idempotent request is
        cancelled at its target, any other request continues.

        :raises RequestError: if there is no response; its ``outcome`` tells whether the request
            ran.
        """
        plan = self._planner.plan(request)
        run = self._run(plan, request)
        return await (run if plan.route.is_idempotent else self._run_detached(run, request))

    def check_headers(self, request: EntryRequest) -> None:
        """Reject a request that would be rejected whatever its body is.

        :raises RequestError: if the manifest has not been received or has no route for the request, or if
            the request is not accepted without a customer.
        """
        self._planner.check_route(request)

    def idempotent_timeout_s(self, request: EntryRequest) -> float | None:
        """Return how long a request may run, ``None`` if it is not known to be idempotent."""
        route = self._planner.route_of(request)
        if route is None or not route.is_idempotent:
            return None
        return min(route.timeout_s, request.caller_timeout_s or route.timeout_s)

    def has_detached_requests(self) -> bool:
        """Return whether requests run that continue when their caller disconnects."""
        return bool(self._detached_runs)

    def end_requests_by(self, ends_at: float) -> None:
        """Send no more requests to targets that may end after ``ends_at``, in event loop time.

        Requests that are in progress at that time end with an unknown outcome.
        """
        self._shutdown_deadline.set(ends_at)

    def remaining_retries(self) -> dict[str, float]:
        """Return how many retries this host may make now, by service."""
        return self._budgets.remaining_by_service(now=self._environment.clock.monotonic())

    async def _run(self, plan: DeliveryPlan, request: EntryRequest) -> HttpResponse:
        if request.handover is None:
            return await self._run_within_quota(plan, request)
        # The host that received the request from its caller has counted it.
        with self._admission.admitted():
            self._environment.metrics.count('requests_of_other_hosts')
            return await self._execute(plan, request)

    async def _run_within_quota(self, plan: DeliveryPlan, request: EntryRequest) -> HttpResponse:
        customer = plan.customer
        grant = None
        if customer is not None:
            grant = await self._customer_limits.acquire(customer, is_urgent=plan.is_urgent)
        plan.budget.note_request(now=self._environment.clock.monotonic())
        try:
            return await self._execute(plan, request)
        except NotRunError:
            if grant is not None:
                grant.release_unused()
            raise

    async def _execute(self, plan: DeliveryPlan, request: EntryRequest) -> HttpResponse:
        run = RequestExecutor(
            environment=self._environment,
            exchange=self._exchange,
            target_selector=self._target_selector,
            crashes=self._crash_detector,
            sizes=self._sizes,
            planner=self._planner,
            shutdown_deadline=self._shutdown_deadline,
            plan=plan,
            request=request,
            proxy=self._proxy,
        )
        return await run.run()

    async def _run_detached(
        self, run: Coroutine[Any, Any, HttpResponse], request: EntryRequest
    ) -> HttpResponse:
        # A non-idempotent request continues after its caller disconnects: cancelling it would
        # leave its outcome unknown, and the caller may rely on it being executed.
        task = asyncio.create_task(run)
        self._detached_runs.add(task)
        task.add_done_callback(self._detached_runs.discard)
        usage = request.usage
        if usage is not None:
            # The run keeps the body after the caller has left.
            usage.retain()
            task.add_done_callback(lambda _: usage.release())
        return await asyncio.shield(task)
