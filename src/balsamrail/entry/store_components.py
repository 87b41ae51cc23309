"""Components that replicate the contents of the store to a host."""

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.feed import Feed
from balsamrail.catalog.store_monitor import StoreMonitor
from balsamrail.environment import Environment
from balsamrail.fleet.feed_follower import FeedFollower
from balsamrail.fleet.feed_hub import FeedHub
from balsamrail.fleet.store_watch import StoreWatch
from balsamrail.membership import HostListPolicy, LossRecord, Members, PeerNetwork
from balsamrail.platform.catalog_reader import EVACUATIONS, CatalogReader
from balsamrail.platform.host_registry import HostRegistry
from balsamrail.platform.loss_store import LossStore
from balsamrail.platform.object_store import ObjectStore
from balsamrail.process.announcer import Announcer


class StoreComponents:
    """Creates the store client, the catalog, the membership and the feeds that connect them."""

    __slots__ = (
        'announcer',
        'catalog',
        'hub',
        'loss_record',
        'members',
        'network',
        'store',
        'watch',
    )

    def __init__(self, *, environment: Environment) -> None:
        self.store = ObjectStore(environment=environment)
        self.catalog = Catalog(environment=environment)
        registry = HostRegistry(environment=environment, store=self.store)
        self.loss_record = LossRecord(environment=environment, source=LossStore(store=self.store))
        self.members = Members(
            environment=environment,
            panic_mode=False,
            is_ready=False,
            advances_incarnation=True,
            # Hosts find each other without the list once they have joined the fleet.
            host_list_policy=HostListPolicy(fleet_polls_per_s=0.5, entries_expire=False),
            loss_record=self.loss_record,
        )
        self.network = PeerNetwork(environment=environment, members=self.members, store=registry)
        self.announcer = Announcer(environment=environment, members=self.members, store=registry)
        reader = CatalogReader(
            environment=environment,
            catalog=self.catalog,
            store_up_for_s=lambda: self.watch.store_up_for_s(),
            on_new_era=self._on_new_era,
        )
        contact = StoreMonitor(environment=environment, source=self.store, kind=EVACUATIONS)
        self.watch = StoreWatch(
            environment=environment,
            members=self.members,
            contact=contact,
            feeds=[
                Feed(environment=environment, source=self.store, view=view, contact=contact)
                for view in reader.views
            ],
            follower=FeedFollower(
                environment=environment, network=self.network, views=reader.views
            ),
        )
        self.hub = FeedHub(
            environment=environment,
            network=self.network,
            views=reader.views,
            watch=self.watch,
        )

    def _on_new_era(self) -> None:
        self.announcer.announce_again()
        self.loss_record.report_again()
