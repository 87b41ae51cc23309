"""Components that replicate the contents of the store to a host."""

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.feed import Feed
from balsamrail.catalog.object_view import ObjectView
from balsamrail.catalog.revision import Revision
from balsamrail.catalog.store_monitor import StoreMonitor
from balsamrail.environment import Environment
from balsamrail.fleet.consistent_reader import ConsistentReader
from balsamrail.fleet.feed_follower import FeedFollower
from balsamrail.fleet.feed_hub import FeedHub
from balsamrail.fleet.manifest_lease import ManifestLease
from balsamrail.fleet.manifest_questions import ManifestQuestions
from balsamrail.fleet.manifest_renewal import ManifestRenewal
from balsamrail.fleet.store_watch import StoreWatch
from balsamrail.membership import HostListPolicy, LossRecord, Members, PeerNetwork
from balsamrail.platform.catalog_reader import EVACUATIONS, MANIFESTS, CatalogReader
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
        'manifest_lease',
        'manifest_renewal',
        'members',
        'network',
        'store',
        'watch',
    )

    def __init__(self, *, environment: Environment) -> None:
        self.store = ObjectStore(environment=environment)
        self.catalog = Catalog(environment=environment)
        self.manifest_lease = ManifestLease(environment=environment, catalog=self.catalog)
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
        feeds = [
            Feed(
                environment=environment,
                source=self.store,
                view=view,
                contact=contact,
                on_listed=self._on_manifests_listed if view.kind == MANIFESTS else None,
            )
            for view in reader.views
        ]
        self.watch = StoreWatch(
            environment=environment,
            members=self.members,
            contact=contact,
            feeds=feeds,
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
        feed, view = next(
            (feed, view)
            for feed, view in zip(feeds, reader.views, strict=True)
            if view.kind == MANIFESTS
        )
        self.manifest_renewal = self._make_renewal(environment, feed=feed, view=view)

    def _make_renewal(
        self, environment: Environment, *, feed: Feed, view: ObjectView
    ) -> ManifestRenewal:
        return ManifestRenewal(
            environment=environment,
            catalog=self.catalog,
            lease=self.manifest_lease,
            members=self.members,
            questions=ManifestQuestions(
                environment=environment, lease=self.manifest_lease, network=self.network
            ),
            reader=ConsistentReader(
                environment=environment,
                lease=self.manifest_lease,
                source=self.store,
                view=view,
                watch=self.watch,
                relist=feed.relist,
            ),
            view=view,
            watch=self.watch,
        )

    def _on_manifests_listed(self, sent_at: float, revision: Revision) -> None:
        self.manifest_lease.note_read(sent_at=sent_at, era=revision.era)

    def _on_new_era(self) -> None:
        self.announcer.announce_again()
        self.loss_record.report_again()
