"""A play of callers and targets under virtual time that drives the real decision modules.

It has no network and no event loop: the time is a number, and the catalog, the placement and the
budgets of each host are those of the product. Two ways of deciding can be played side by side
from one seed::

    tally = play(selokosmos(), rule=PlacementRule(), seed=1, length_s=30)
    print(tally.credit())
"""

from standins.load_play.play import play
from standins.load_play.site import Change, Evacuation, KindSize, ServiceSize, Site, ZoneSize
from standins.load_play.sites import selokosmos, suryatap
from standins.load_play.tally import Tally

__all__ = (
    'Change',
    'Evacuation',
    'KindSize',
    'ServiceSize',
    'Site',
    'Tally',
    'ZoneSize',
    'play',
    'selokosmos',
    'suryatap',
)
