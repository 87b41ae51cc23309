"""Claims of caller-generated keys, written to the store in batches."""

import asyncio
from hashlib import blake2b
from itertools import count
from typing import Any, Protocol

from balsamrail.environment import Environment
from balsamrail.errors import KeyClaimError
from balsamrail.forwarding.claim_partition import ClaimPartition
from balsamrail.membership.member import Member
from balsamrail.membership.network import Network
from balsamrail.messages import ClaimAnswer, ClaimRequest
from balsamrail.store import Store

# 16 partitions of 5,000 claims sustain 133 new keys per second with a lifetime of 10 minutes. More
# partitions would hold more keys, but fewer claims would share a write.
_PARTITIONS = 16
_ANSWER_TIMEOUT_S = 1.0
_HASH_BYTES = 8


class _Members(Protocol):
    def alive(self) -> list[Member]: ...


class ClaimRegistry:
    """Decides which host may execute a request with a key that names no host.

    Rendezvous hashing assigns each partition of the key space to an owner, which batches the
    claims of the partition into conditional writes. Two hosts that both consider themselves the
    owner are safe: one of their writes conflicts and is retried on the value of the other::

        holder = await registry.claim('order-17', expiry_wall_s=clock.wall() + 600)
        if holder == environment.holder:
            ...  # only this host may execute the request
    """

    __slots__ = (
        '_environment',
        '_members',
        '_network',
        '_partition_by_number',
        '_pending_requests',
        '_request_ids',
        '_store',
        '_tasks',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        store: Store,
        network: Network,
        members: _Members,
    ) -> None:
        self._environment = environment
        self._store = store
        self._network = network
        self._members = members
        self._request_ids = count(1)
        self._partition_by_number: dict[int, ClaimPartition] = {}
        self._pending_requests: dict[int, asyncio.Future[str]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        network.subscribe(ClaimRequest, self._receive_request)
        network.subscribe(ClaimAnswer, self._receive_answer)

    async def claim(self, key: str, *, expiry_wall_s: float) -> str:
        """Return the ``host@incarnation`` that may execute the request with ``key``.

        A claim is valid until ``expiry_wall_s``, in seconds since the epoch. After that a resend
        counts as a new request.

        :raises KeyClaimError: if the claim cannot be written. In that case the request has not
            run, and does not run unless the claim is requested from this host again.
        """
        number = _partition_number(key)
        owner = self._owner(number)
        if owner and owner.host != self._environment.settings.host:
            holder = await self._request_claim(owner.host, key=key, expiry_wall_s=expiry_wall_s)
            if holder:
                return holder
        return await self._partition(number).claim(
            key,
            holder=self._environment.holder,
            expiry_wall_s=expiry_wall_s,
        )

    def dump(self) -> dict[str, Any]:
        """Return the partitions in use and the number of pending claim requests."""
        return {
            'parts': sorted(self._partition_by_number),
            'waiting': len(self._pending_requests),
        }

    def _owner(self, number: int) -> Member | None:
        return max(
            self._members.alive(),
            key=lambda member: _digest(f'{number}/{member.host}'),
            default=None,
        )

    def _partition(self, number: int) -> ClaimPartition:
        partition = self._partition_by_number.get(number)
        if partition is None:
            self._evict_unowned_partitions()
            partition = ClaimPartition(
                environment=self._environment,
                store=self._store,
                number=number,
            )
            self._partition_by_number[number] = partition
        return partition

    def _evict_unowned_partitions(self) -> None:
        """Discard cached partitions that are now owned by other hosts."""
        for number, partition in list(self._partition_by_number.items()):
            owner = self._owner(number)
            is_owned = owner and owner.host == self._environment.settings.host
            if not is_owned and partition.is_idle():
                del self._partition_by_number[number]

    async def _request_claim(self, host: str, *, key: str, expiry_wall_s: float) -> str:
        """Return the holder reported by the owner, empty if the owner does not reply in time."""
        request_id = next(self._request_ids)
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._pending_requests[request_id] = future
        request = ClaimRequest(
            request_id=request_id,
            key=key,
            holder=self._environment.holder,
            expiry_wall_s=expiry_wall_s,
        )
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                await self._network.send(host, request)
                return await future
        except TimeoutError:
            self._environment.metrics.count('claim_owner_timeouts')
            return ''
        finally:
            self._pending_requests.pop(request_id, None)

    def _receive_request(self, host: str, request: ClaimRequest) -> None:
        task = asyncio.create_task(self._handle_request(host, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_request(self, host: str, request: ClaimRequest) -> None:
        try:
            holder = await self._partition(_partition_number(request.key)).claim(
                request.key,
                holder=request.holder,
                expiry_wall_s=request.expiry_wall_s,
            )
        except KeyClaimError:
            holder = ''
        answer = ClaimAnswer(request_id=request.request_id, key=request.key, holder=holder)
        await self._network.send(host, answer)

    def _receive_answer(self, host: str, answer: ClaimAnswer) -> None:
        future = self._pending_requests.get(answer.request_id)
        if future and not future.done():
            future.set_result(answer.holder)


def _partition_number(key: str) -> int:
    return _digest(key) % _PARTITIONS


def _digest(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=_HASH_BYTES).digest())
