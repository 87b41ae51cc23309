"""Mechanisms of the explanation of a request."""

from tools.mutant import Mutant

_FEATURE = 'features/explain.feature'
_NO_TRACE = 'An explanation leaves no trace'
_SELECTOR = 'src/balsamrail/placement/target_selector.py'

EXPLAIN = (
    Mutant(
        mechanism='an explained request does not count as demand for its object',
        file=_SELECTOR,
        old='trial._object_spread = copy.deepcopy(self._object_spread)',
        new='trial._object_spread = self._object_spread',
        feature=_FEATURE,
        scenario=_NO_TRACE,
    ),
    Mutant(
        mechanism='an explained request is not counted against limits of targets',
        file='src/balsamrail/placement/target_registry.py',
        old='                availability.limit = limit\n',
        new='                pass\n',
        feature=_FEATURE,
        scenario=_NO_TRACE,
    ),
    Mutant(
        mechanism='the explanation asks for the customer of a request',
        file='src/balsamrail/delivery/request_explainer.py',
        old="return 'unknown_key' if customer is None else None",
        new='return None',
        feature=_FEATURE,
        scenario='A request that would be rejected because',
    ),
)
