"""Steps of soak.feature."""

import asyncio
import tempfile
from pathlib import Path

from behave import then, when

from tools.soak.behaviours import parse_behaviours
from tools.soak.run import run_seed


@when(
    'the soak runs seed {seed:d} for {seconds:g} s on {hosts:d} hosts with {callers:d} callers '
    'and {behaviours}'
)
def step_soak(context, seed, seconds, hosts, callers, behaviours):
    with tempfile.TemporaryDirectory() as folder:
        context.report = asyncio.run(
            run_seed(
                seed=seed,
                folder=Path(folder),
                seconds=seconds,
                hosts=hosts,
                callers=callers,
                behaviours=parse_behaviours(behaviours),
            )
        )
    print(context.report.line())


@then('no promise is broken')
def step_kept(context):
    assert not context.report.broken, context.report.broken[:10]
    assert context.report.outcomes.get('done', 0) > 100, context.report.outcomes
