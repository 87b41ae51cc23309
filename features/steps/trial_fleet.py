"""A fleet of hosts that evaluate a trial, in one process."""

import asyncio
import json

from platform_helpers import make_environment, make_member
from record_values import record_value

from balsamrail.configuration import RECORD_NAME, Tracker, TrialEvaluator
from standins.memory_store import MemoryStore

TRIAL = {'duration_s': 60, 'min_requests': 50}


class Fleet:
    """Trial judges with a shared store and a network with duplicates.

    The network delivers each message twice, followed by the first message of the same host.
    """

    def __init__(self, *, store, hosts):
        self.store = store
        self.environments = [make_environment(host=f'h{index}') for index in range(hosts)]
        self.receivers = []
        self.flooded = []
        value, version = store.values(RECORD_NAME)[-1], store.version(RECORD_NAME)
        self.trackers, self.judges = [], []
        for environment in self.environments:
            tracker = Tracker(environment=environment)
            tracker.offer(value, version=version)
            self.trackers.append(tracker)
            self.judges.append(
                TrialEvaluator(
                    environment=environment,
                    tracker=tracker,
                    store=store,
                    network=self,
                    members=self,
                )
            )

    def subscribe(self, kind, receive):
        self.receivers.append(receive)

    def flood(self, message, *, topic, version):
        self.flooded.append(message)
        first = next(entry for entry in self.flooded if entry.host == message.host)
        for receive in self.receivers:
            for copy in (message, message, first):
                receive(message.host, copy)

    def alive(self):
        return [
            make_member(environment.settings.host, incarnation=environment.incarnation)
            for environment in self.environments
        ]

    async def run(self, duration_s):
        tasks = [asyncio.create_task(judge.run()) for judge in self.judges]
        await asyncio.sleep(duration_s)
        for task in tasks:
            assert not task.done(), task
            task.cancel()


def make_fleet(*, hosts=1, script=(), **trial):
    store = MemoryStore()
    value = record_value(number=1, revision=1, candidate_revision=2, **{**TRIAL, **trial})
    store.values_by_name[RECORD_NAME] = [json.dumps(value)]
    store.script = list(script)
    return Fleet(store=store, hosts=hosts)


def feed(judge, *, revision, requests, errors=0, latency_s=0.1):
    for index in range(requests):
        judge.observe(revision=revision, failed=index < errors, latency_s=latency_s)
