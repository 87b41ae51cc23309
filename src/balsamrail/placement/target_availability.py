"""Whether an incarnation of a target may get a request now, and if not, why."""

from collections.abc import Iterator
from dataclasses import dataclass

from balsamrail.placement.exclusion import Exclusion
from balsamrail.placement.exclusion_reason import ExclusionReason
from balsamrail.placement.target_limit import TargetLimit

# After a refusal, the fill limit rises from zero over this time, or over the length of the refusal
# if that is shorter. It is also the interval over which rejected callers are told to spread their
# retries, so that the limit is restored by the time of the last retry.
REFUSAL_RAMP_S = 1.0
# The fill limit at the end of a refusal: only an idle target gets a request.
_MIN_BOUND = 0.001
# Responses on several connections overtake each other, so that one without a limit may be older
# than the last one that named it.
MIN_LIMIT_AGE_S = 0.5


@dataclass(slots=True, kw_only=True)
class TargetAvailability:
    """Tracks what a target announced and what this host observed, and derives its availability.

    Every component that sends anything to a target uses this class, so that all send paths apply
    the same rules::

        availability.note_refusal(2.5, now=now)
        availability.exclusion_reason(now=now + 1)  # ExclusionReason.refusing

    An instance belongs to one incarnation of a target. Announcements of the target are never
    revoked: a later response without the announcement was sent earlier, or comes from a component
    of the target that does not know of it.

    :param leaving_since: when a response first announced the shutdown of the target, ``None`` if
        none did.
    :param draining_since: since when the target has been draining in the store, ``None`` if it is
        not.
    :param refusing_since: the start of the last refusal (Retry-After).
    :param refusing_until: the end of the last refusal.
    :param down_since: when the target was found to be down, ``None`` if it is up.
    :param cold_since: when the target was first known to be cold.
    :param cold_until: the time until which the target tolerates only a low request rate.
    :param limit: the request rate that the target names now, ``None`` if it names none.
    :param invalid_limit: the last text that it sent in place of one.
    """

    leaving_since: float | None = None
    draining_since: float | None = None
    refusing_since: float = 0
    refusing_until: float = 0
    down_since: float | None = None
    cold_since: float = 0
    cold_until: float = 0
    limit: TargetLimit | None = None
    invalid_limit: str = ''

    def note_leaving(self, *, now: float) -> bool:
        """Record an announcement of a shutdown; return whether it is the first one."""
        if self.leaving_since is not None:
            return False
        self.leaving_since = now
        return True

    def note_refusal(self, for_s: float, *, now: float) -> float:
        """Record a refusal of further requests; one that ends earlier than the last is ignored.

        :param for_s: the duration from now on in seconds.
        :returns: by how many seconds the refusal was extended.
        """
        extended_s = now + for_s - max(now, self.refusing_until)
        if extended_s <= 0:
            return 0
        if now >= self.refusing_until:
            self.refusing_since = now
        self.refusing_until = now + for_s
        return extended_s

    def note_draining(self, is_draining: bool, *, now: float) -> None:
        """Record whether the target is draining according to the store."""
        if not is_draining:
            self.draining_since = None
        elif self.draining_since is None:
            self.draining_since = now

    def note_down(self, *, now: float) -> None:
        """Exclude the target until it is found to be up."""
        if self.down_since is None:
            self.down_since = now

    def note_up(self) -> None:
        """Record that the target responds."""
        self.down_since = None

    def note_cold(self, until: float, *, now: float) -> None:
        """Record that the target is cold until some time; an earlier time is ignored."""
        if now >= self.cold_until:
            self.cold_since = now
        self.cold_until = max(self.cold_until, until)

    def note_limit(self, per_s: float, *, now: float, is_reported: bool = False) -> None:
        """Record that the target names a request rate, for all hosts together.

        :param is_reported: whether another host reported it.
        """
        if self.limit is None:
            self.limit = TargetLimit(per_s=per_s, since=now, refilled_at=now)
        self.limit.per_s = per_s
        if not is_reported:
            self.limit.named_at = now

    def note_no_limit(self, *, now: float) -> bool:
        """Record a response without a limit; return whether one has ended."""
        if self.limit is None or now - self.limit.named_at < MIN_LIMIT_AGE_S:
            return False
        self.limit = None
        return True

    def note_invalid_limit(self, text: str) -> bool:
        """Record a limit that cannot be read; return whether it differs from the last one.

        A limit that is in force stays, since the target is still in need.
        """
        if not text or text == self.invalid_limit:
            return False
        self.invalid_limit = text
        return True

    def is_cold(self, *, now: float) -> bool:
        """Return whether the target tolerates only a low request rate."""
        return now < self.cold_until

    def health_check_exclusion(self, *, now: float) -> ExclusionReason | None:
        """Return why no health check may be sent, ``None`` if one may be.

        Health checks are subject to this since they occupy slots of the target as requests do.
        """
        if self.leaving_since is not None:
            return ExclusionReason.leaving
        if self.draining_since is not None:
            return ExclusionReason.draining
        if now < self.refusing_until:
            return ExclusionReason.refusing
        return None

    def may_be_probed(self, *, now: float) -> bool:
        """Return whether a connection may be opened to probe the target, without a request.

        A target that is shutting down may be probed: it still has requests to finish, and these
        are aborted if its machine is lost. A target that refuses requests may not be, since a new
        connection may occupy a slot.
        """
        return self.down_since is None and now >= self.refusing_until

    def exclusion_reason(
        self, *, now: float, is_cold_allowed: bool = True, is_rate_allowed: bool = True
    ) -> ExclusionReason | None:
        """Return why the target may not get any request now, ``None`` if it may.

        The load of the target excludes only some requests, see :meth:`is_full`.

        :param is_cold_allowed: whether the rate limit lets this host send a request to the target
            if it is cold.
        :param is_rate_allowed: whether the rate that the target named does.
        """
        health_check_excluded_by = self.health_check_exclusion(now=now)
        if health_check_excluded_by is not None:
            return health_check_excluded_by
        if self.down_since is not None:
            return ExclusionReason.down
        if not is_cold_allowed and self.is_cold(now=now):
            return ExclusionReason.cold
        return None if is_rate_allowed else ExclusionReason.limited

    def is_full(self, fill: float, *, bound: float, now: float) -> bool:
        """Return whether the target lacks the capacity for a request.

        After a refusal, the limit ramps up from zero, so that callers who retry at its end do not
        all reach the target at once.

        :param fill: the load of the target, divided by its slots.
        :param bound: the fill from which on the target is full.
        """
        after_s = now - self.refusing_until
        if after_s < REFUSAL_RAMP_S:
            ramp_s = min(REFUSAL_RAMP_S, self.refusing_until - self.refusing_since)
            if after_s < ramp_s:
                return fill >= max(_MIN_BOUND, bound * after_s / ramp_s)
        return fill >= bound

    def exclusions(self, *, now: float) -> Iterator[Exclusion]:
        """Yield all exclusions that apply now, also those that do not exclude every request."""
        if self.leaving_since is not None:
            yield Exclusion(reason=ExclusionReason.leaving, since=self.leaving_since)
        if self.draining_since is not None:
            yield Exclusion(reason=ExclusionReason.draining, since=self.draining_since)
        if now < self.refusing_until:
            yield Exclusion(
                reason=ExclusionReason.refusing,
                since=self.refusing_since,
                until=self.refusing_until,
            )
        if self.down_since is not None:
            yield Exclusion(reason=ExclusionReason.down, since=self.down_since)
        if self.is_cold(now=now):
            yield Exclusion(
                reason=ExclusionReason.cold, since=self.cold_since, until=self.cold_until
            )
        if self.limit is not None:
            yield Exclusion(reason=ExclusionReason.limited, since=self.limit.since)
