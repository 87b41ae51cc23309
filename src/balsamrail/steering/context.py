"""Dependencies shared by the components of steering on one host."""

from dataclasses import dataclass
from random import Random

from balsamrail.environment import Environment
from balsamrail.membership.network import Network
from balsamrail.steering.collaborators import DeclarationSource, MemberView
from balsamrail.store import Store


@dataclass(frozen=True, slots=True, kw_only=True)
class SteeringContext:
    """The dependencies of steering, for components that need most of them.

    :param random: source of randomness, seeded in tests.
    """

    environment: Environment
    tracker: DeclarationSource
    members: MemberView
    network: Network
    store: Store
    random: Random
