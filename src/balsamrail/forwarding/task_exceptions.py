"""Marks the error of a background task as seen."""

import asyncio
from typing import Any


def mark_exception_retrieved(task: asyncio.Task[Any]) -> None:
    """Keep asyncio from logging the error of a task whose caller went away."""
    if not task.cancelled():
        task.exception()
