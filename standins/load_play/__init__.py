"""Simulates callers and targets in virtual time against the product's placement modules.

The simulation uses neither a network nor an event loop: time is a number, and each host uses the
product's catalog, placement and retry budgets. Two placement strategies can be compared from the
same seed::

    statistics = play(selokosmos(), seed=1, length_s=30)
    print(statistics.credit())
"""

from standins.load_play.load_statistics import LoadStatistics
from standins.load_play.play import play
from standins.load_play.site import (
    Change,
    RequestKind,
    ServiceModel,
    Site,
    ZoneEvacuation,
    ZoneModel,
)
from standins.load_play.sites import selokosmos, selokosmos_large, suryatap
from standins.load_play.uneven_sites import deployment_k, deployment_l

__all__ = (
    'Change',
    'LoadStatistics',
    'RequestKind',
    'ServiceModel',
    'Site',
    'ZoneEvacuation',
    'ZoneModel',
    'deployment_k',
    'deployment_l',
    'play',
    'selokosmos',
    'selokosmos_large',
    'suryatap',
)
