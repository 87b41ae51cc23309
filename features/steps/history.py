"""Checks the outcomes that callers received against the runs that took place."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Call:
    """One call; ``told`` is done, not_run, unknown or gone (the caller disconnected)."""

    key: str
    called: int
    returned: int = 0
    told: str = 'gone'
    body: bytes = b''


@dataclass(slots=True, kw_only=True)
class Run:
    key: str
    began: int
    body: bytes


@dataclass(slots=True, kw_only=True)
class History:
    """Calls and runs, ordered by the logical clock ``ticks``."""

    calls: list[Call] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    ticks: int = 0

    def tick(self):
        self.ticks += 1
        return self.ticks

    def call(self, key):
        self.calls.append(Call(key=key, called=self.tick()))
        return self.calls[-1]

    def run(self, key, body):
        self.runs.append(Run(key=key, began=self.tick(), body=body))

    def end(self, call, told, body=b''):
        call.returned, call.told, call.body = self.tick(), told, body

    def faults(self):
        """Return one line for each violated guarantee."""
        found = []
        for key in {entry.key for entry in (*self.calls, *self.runs)}:
            runs = [run for run in self.runs if run.key == key]
            calls = [call for call in self.calls if call.key == key]
            if len(runs) > 1:
                found.append(f'{key}: ran {len(runs)} times')
            for call in calls:
                found += self._call_faults(call, calls, runs)
        return found

    def _call_faults(self, call, calls, runs):
        if call.told == 'done' and call.body not in [run.body for run in runs]:
            yield f'{call.key}: told done with bytes of no run'
        if call.told != 'not_run':
            return
        for run in runs:
            # A run that began during this call must belong to another, overlapping call.
            others = [
                other
                for other in calls
                if other.told != 'not_run'
                and other.called < run.began
                and (not other.returned or other.returned > call.called)
            ]
            if run.began < call.called or (run.began < call.returned and not others):
                yield f'{call.key}: told not run, but it ran'
        if runs and all(other.told == 'not_run' for other in calls):
            yield f'{call.key}: every call was told not run, but it ran'
