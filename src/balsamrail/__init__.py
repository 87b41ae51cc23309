"""Steers callers' traffic across availability zones and regions."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from balsamrail.configuration import Declaration, load_declaration
    from balsamrail.environment import Environment
    from balsamrail.errors import BalsamrailError
    from balsamrail.settings import Settings

__all__ = ('BalsamrailError', 'Declaration', 'Environment', 'Settings', 'load_declaration')

_MODULE_BY_NAME = {
    'BalsamrailError': 'balsamrail.errors',
    'Declaration': 'balsamrail.configuration',
    'Environment': 'balsamrail.environment',
    'Settings': 'balsamrail.settings',
    'load_declaration': 'balsamrail.configuration',
}


def __getattr__(name: str) -> Any:  # noqa: WPS413
    # Lazy imports keep the start of a host fast, since it imports only the modules that it uses.
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    return getattr(import_module(module), name)
