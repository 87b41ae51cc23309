"""The attempts of one request."""

from dataclasses import dataclass, field

from balsamrail.delivery.delivery_plan import DeliveryPlan
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.environment import Environment
from balsamrail.errors import ExchangeError
from balsamrail.placement.choice_inputs import ChoiceInputs
from balsamrail.placement.passed_over import PassedOver


@dataclass(slots=True, kw_only=True)
class AttemptRecord:
    """What was tried for a request, and the log line about it.

    :param attempted: the targets to which the request was sent, by this host or through another.
    :param unreachable: the targets to which it could not be sent.
    :param proxy_hosts: the hosts through which it was sent.
    :param ambiguous: the last failure after which it is unknown whether the request ran.
    """

    attempted: list[str] = field(default_factory=list)
    unreachable: list[str] = field(default_factory=list)
    proxy_hosts: list[str] = field(default_factory=list)
    passed_over: PassedOver = field(default_factory=PassedOver)
    choice_inputs: ChoiceInputs | None = None
    ambiguous: ExchangeError | None = None

    def has_failed(self) -> bool:
        """Return whether an attempt over this host's own paths failed."""
        return bool(self.unreachable) or self.ambiguous is not None

    def note_unknown_attempts(self, host: str, *, count: int) -> None:
        """Count the attempts that another host was allowed and may have made."""
        self.attempted.extend(f'?{host}' for _ in range(count))

    def log(
        self,
        environment: Environment,
        request: EntryRequest,
        plan: DeliveryPlan,
        *,
        status: int,
        code: str,
        reason: str,
        deadline: float,
    ) -> None:
        """Log and count the outcome of the request.

        :param deadline: event loop time in seconds until which the caller waited.
        """
        now = environment.clock.monotonic()
        took_s = now - request.arrived_at
        environment.metrics.count(f'requests_{code}')
        environment.metrics.record('request', took_s)
        environment.log.event(
            'request_done',
            request=request.request_id,
            route=plan.route.name,
            service=plan.placement_key.service,
            object=request.object_key,
            sent=','.join(self.attempted),
            unreached=','.join(self.unreachable),
            through=','.join(self.proxy_hosts),
            origin='' if request.handover is None else request.handover.origin,
            passed_over=self.passed_over.text(),
            status=status,
            code=code,
            reason=reason,
            took_s=took_s,
            aim_s=plan.route.aim_s,
            left_s=deadline - now,
            manifest=plan.manifest_version,
            allowed_regions=','.join(sorted(plan.route.allowed_regions)),
            **({} if plan.customer is None else {'customer': plan.customer.name}),
            **self._choice_fields(),
        )

    def _choice_fields(self) -> dict[str, object]:
        if self.choice_inputs is None:
            return {}
        return {
            'region': self.choice_inputs.region,
            'fill': self.choice_inputs.fill,
            'report_age_s': self.choice_inputs.report_age_s,
            'known': self.choice_inputs.is_known,
            'bad': self.choice_inputs.is_bad,
            'slowdown': round(self.choice_inputs.slowdown, 2),
        }
