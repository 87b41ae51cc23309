"""The protective mechanisms that ``make mutants`` disables, by area."""

from tools.mutants.affinity import AFFINITY
from tools.mutants.configuration import CONFIGURATION
from tools.mutants.currency import CURRENCY
from tools.mutants.customers import CUSTOMERS
from tools.mutants.endless_bytes import ENDLESS_BYTES
from tools.mutants.entry import ENTRY
from tools.mutants.explain import EXPLAIN
from tools.mutants.forwarding import FORWARDING
from tools.mutants.host import HOST
from tools.mutants.idle_connections import IDLE_CONNECTIONS
from tools.mutants.keys import KEYS
from tools.mutants.liveness import LIVENESS
from tools.mutants.manifest_lease import MANIFEST_LEASE
from tools.mutants.membership import MEMBERSHIP
from tools.mutants.misbehaving_callers import MISBEHAVING_CALLERS
from tools.mutants.pipelining import PIPELINING
from tools.mutants.proxying import PROXYING
from tools.mutants.quotas import QUOTAS
from tools.mutants.steering import STEERING
from tools.mutants.target_standing import TARGET_STANDING

MUTANTS = (
    *AFFINITY,
    *CONFIGURATION,
    *LIVENESS,
    *MEMBERSHIP,
    *STEERING,
    *TARGET_STANDING,
    *FORWARDING,
    *IDLE_CONNECTIONS,
    *KEYS,
    *HOST,
    *ENTRY,
    *CURRENCY,
    *CUSTOMERS,
    *ENDLESS_BYTES,
    *MISBEHAVING_CALLERS,
    *PIPELINING,
    *PROXYING,
    *MANIFEST_LEASE,
    *QUOTAS,
    *EXPLAIN,
)
