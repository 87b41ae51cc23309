"""Retrieval of exceptions of background tasks."""

import asyncio
from typing import Any


def mark_exception_retrieved(task: asyncio.Task[Any]) -> None:
    """Prevent asyncio from logging the exception of a task whose caller disconnected."""
    if not task.cancelled():
        task.exception()
