"""Settings shared by all scenarios: property tests are repeatable from the printed seed."""

import os
import sys
import traceback

from hypothesis import HealthCheck, settings

SEED = int(os.environ.get('BALSAMRAIL_SEED', '1'))

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    max_examples=100,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile('ci')


def before_all(context):
    context.seed = SEED


def after_step(context, step):
    # The JSON report contains the messages of failed assertions only, not of other exceptions.
    if step.status.name == 'error' and step.exception is not None:
        traceback.print_exception(step.exception, file=sys.__stdout__)
        sys.__stdout__.flush()


def after_scenario(context, scenario):
    for cleanup in reversed(getattr(context, 'stoppers', [])):
        cleanup()
