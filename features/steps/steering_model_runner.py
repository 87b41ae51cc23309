"""Runs a fleet model in virtual time and stores it in the scenario context."""

from fleet_model import FleetModel
from virtual_time import run_virtual


def run_model(context, script):
    """Start a fleet model, run ``script`` with it, and stop it."""

    async def main():
        model = FleetModel(context.declaration)
        await model.start()
        await script(model)
        await model.stop()
        context.model = model

    run_virtual(main())
