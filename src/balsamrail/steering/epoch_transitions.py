"""Computation of each share epoch from the preceding one."""

from collections.abc import Mapping, Sequence, Set
from dataclasses import replace

from balsamrail.steering.share_epoch import ShareEpoch
from balsamrail.steering.share_split import split_total

Amounts = dict[str, int]


def first_epoch(
    totals: Amounts, *, number: int = 1, local: Sequence[str], remote: Sequence[str]
) -> ShareEpoch:
    """Return the first epoch of a region, distributed among the holders known at that time."""
    base: dict[str, Amounts] = {holder: {} for holder in (*local, *remote)}
    _distribute(base, remaining=totals, local=local, remote=remote)
    return ShareEpoch(epoch=number, sealing=False, totals=totals, base=base, pool=dict(totals))


def epoch_after_loss(
    copied: ShareEpoch | None,
    *,
    number: int,
    lost: int,
    totals: Amounts,
    alive: Set[str],
) -> ShareEpoch:
    """Return the epoch after the store came back from a copy and lost epochs.

    All holders keep what they hold until they seal this epoch. Those that have not adopted the
    last lost epoch hold nothing, since it may have reclaimed what they held.

    :param copied: the epoch in the copy, ``None`` if it has none.
    :param number: the number of the epoch, above all lost ones.
    :param lost: the highest number of a lost epoch that this host knows.
    :param alive: the holders that are alive, of which the copy may lack some.
    """
    holders = alive | (copied.holders() if copied else set())
    pool = copied.pool if copied else {}
    return ShareEpoch(
        epoch=number,
        sealing=False,
        totals=totals,
        base={},
        unsealed=sorted(holders),
        pool={
            name: max(totals.get(name, 0), pool.get(name, 0))
            for name in totals.keys() | pool.keys()
        },
        joined=dict.fromkeys(holders, lost),
    )


def with_joined(epoch: ShareEpoch, *, holders: Set[str]) -> ShareEpoch:
    """Return the same epoch with an empty entry for each holder that joined.

    Listed holders may borrow, since a later epoch waits for their reports as for all others.
    """
    added = sorted(holders - epoch.holders())
    empty: dict[str, Amounts] = {holder: {} for holder in added}
    joined = dict.fromkeys(added, epoch.epoch)
    return replace(epoch, base={**epoch.base, **empty}, joined={**epoch.joined, **joined})


def next_epoch(
    epoch: ShareEpoch,
    *,
    totals: Amounts,
    sealed: Mapping[str, Amounts],
    gone: Set[str],
    local: Sequence[str],
    remote: Sequence[str],
) -> ShareEpoch:
    """Return the epoch after ``epoch``.

    :param totals: totals of the declaration in force.
    :param sealed: what each holder reported to hold when it sealed ``epoch``.
    :param gone: holders proved gone.
    :param local: holders of the region, which receive a part of the unassigned amounts.
    :param remote: holders of other regions, which receive a part of the unassigned amounts.
    """
    present = {name: dict(sealed[name]) for name in epoch.holders() if name in sealed}
    silent = sorted(epoch.holders() - present.keys() - gone)
    base: dict[str, Amounts] = {name: {} for name in present}
    pool: Amounts = {}
    remaining: Amounts = {}
    for resource in sorted(totals.keys() | epoch.pool.keys()):
        reported = sum(amounts.get(resource, 0) for amounts in present.values())
        # Silent holders hold at most what the others did not report.
        reserved = max(0, epoch.pool.get(resource, 0) - reported) if silent else 0
        allowed = max(0, totals.get(resource, 0) - reserved)
        _retain(base, resource, present=present, reported=reported, allowed=allowed)
        # A holder may keep what it sealed until it learns of a lower base.
        pool[resource] = reserved + (reported if silent else max(reported, allowed))
        remaining[resource] = 0 if silent else max(0, allowed - reported)
    _distribute(
        base,
        remaining=remaining,
        local=[name for name in local if name in present],
        remote=[name for name in remote if name in present],
    )
    return ShareEpoch(
        epoch=epoch.epoch + 1,
        sealing=False,
        totals=totals,
        base=base,
        unsealed=silent,
        pool={name: maximum for name, maximum in pool.items() if maximum},
        joined={name: at for name, at in epoch.joined.items() if name in silent},
    )


def _retain(
    base: dict[str, Amounts],
    resource: str,
    *,
    present: Mapping[str, Amounts],
    reported: int,
    allowed: int,
) -> None:
    """Assign each holder what it sealed, scaled down if the sum exceeds ``allowed``."""
    for name, amounts in present.items():
        kept = amounts.get(resource, 0)
        if reported > allowed:
            kept = kept * allowed // reported
        if kept:
            base[name][resource] = kept


def _distribute(
    base: dict[str, Amounts], *, remaining: Amounts, local: Sequence[str], remote: Sequence[str]
) -> None:
    for name, total in remaining.items():
        parts = split_total(total, resource=name, local=local, remote=remote)
        for holder, part in parts.items():
            base[holder][name] = base[holder].get(name, 0) + part
