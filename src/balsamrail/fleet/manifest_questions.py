"""Asks other hosts for their evidence that the manifest is the newest, and answers them."""

import asyncio
import math
import secrets

from balsamrail.environment import Environment
from balsamrail.fleet.manifest_lease import ManifestLease
from balsamrail.membership.network import Network
from balsamrail.messages import ManifestAgeAnswer, ManifestAgeRequest, Message

_MS_IN_S = 1_000
_NO_EVIDENCE = -1
# Earlier questions are forgotten, whose answers would be too old to be of use.
_MAX_OPEN_QUESTIONS = 64
# Numbers of an earlier process of this host do not repeat soon.
_FIRST_NUMBER_BITS = 31
_MAX_NUMBER = 2**32


class ManifestQuestions:
    """Keeps the time at which each question was sent, from which its answer counts.

    A peer's age alone would prove nothing, since messages may be delayed for seconds.
    """

    __slots__ = (
        '_environment',
        '_lease',
        '_network',
        '_number',
        '_open_by_number',
        '_sends',
    )

    def __init__(
        self, *, environment: Environment, lease: ManifestLease, network: Network
    ) -> None:
        self._environment = environment
        self._lease = lease
        self._network = network
        self._number = secrets.randbits(_FIRST_NUMBER_BITS)
        self._open_by_number: dict[int, tuple[str, float]] = {}
        self._sends: dict[tuple[str, type[Message]], asyncio.Task[bool]] = {}
        network.subscribe(ManifestAgeRequest, self._on_request)
        network.subscribe(ManifestAgeAnswer, self._on_answer)

    def ask(self, host: str) -> None:
        """Ask a host, unless the last question to it is still waiting for a connection."""
        if (host, ManifestAgeRequest) in self._sends:
            return
        self._number = (self._number + 1) % _MAX_NUMBER
        self._open_by_number[self._number] = (host, self._environment.clock.boottime())
        if len(self._open_by_number) > _MAX_OPEN_QUESTIONS:
            self._open_by_number.pop(next(iter(self._open_by_number)))
        self._environment.metrics.count('manifest_questions')
        self._send(host, ManifestAgeRequest(number=self._number))

    def _on_request(self, host: str, message: ManifestAgeRequest) -> None:
        if not self._lease.is_required():
            return
        age_s = self._lease.age_s()
        is_known = self._lease.manifest_version() and math.isfinite(age_s)
        answer = ManifestAgeAnswer(
            number=message.number,
            age_ms=math.ceil(age_s * _MS_IN_S) if is_known else _NO_EVIDENCE,
            manifest_version=self._lease.manifest_version(),
            era=self._lease.era,
        )
        self._send(host, answer)

    def _on_answer(self, host: str, message: ManifestAgeAnswer) -> None:
        asked, sent_at = self._open_by_number.pop(message.number, ('', 0))
        if asked != host or not self._lease.is_required():
            return
        self._lease.note_answer(
            host=host,
            sent_at=sent_at,
            age_s=message.age_ms / _MS_IN_S,
            version=message.manifest_version,
            era=message.era,
        )

    def _send(self, host: str, message: Message) -> None:
        key = (host, type(message))
        if key in self._sends:
            return
        task = asyncio.create_task(self._network.send(host, message))
        self._sends[key] = task
        task.add_done_callback(lambda _: self._sends.pop(key, None))
