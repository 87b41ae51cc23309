"""Control endpoints of the store stand-in: fault injection and call counters."""

import json
from dataclasses import asdict, fields

from tornado.web import RequestHandler

from standins.serving import drop_connection
from standins.store_faults import StoreFaults
from standins.store_handlers import StoreState


class FaultsHandler(RequestHandler):
    """``/faults``, which is not part of the object API and not counted."""

    def initialize(self, state: StoreState) -> None:
        self.state = state

    def get(self) -> None:
        self.write(asdict(self.state.faults))

    def post(self) -> None:
        changes = json.loads(self.request.body)
        unknown = set(changes) - {entry.name for entry in fields(StoreFaults)}
        if unknown:
            self.set_status(400)
            self.write({'error': f'unknown faults: {", ".join(sorted(unknown))}'})
            return
        for name, setting in changes.items():
            setattr(self.state.faults, name, setting)
        if self.state.faults.down:
            for watcher in list(self.state.watching):
                drop_connection(watcher)
        self.write(asdict(self.state.faults))


class CopyHandler(RequestHandler):
    """``/copy``: PUT takes a copy, POST lets the store come back from it."""

    def initialize(self, state: StoreState) -> None:
        self.state = state

    def put(self) -> None:
        self.state.take_copy()

    def post(self) -> None:
        try:
            self.state.restore()
        except ValueError as error:
            self.set_status(409)
            self.write({'error': str(error)})
            return
        self.write({'era': self.state.era})


class CountersHandler(RequestHandler):
    """``/counters``: number of calls by kind."""

    def initialize(self, state: StoreState) -> None:
        self.state = state

    def get(self) -> None:
        self.write(dict(self.state.calls_by_kind))
