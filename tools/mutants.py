"""The protecting mechanisms that ``make mutants`` turns off."""

from tools.mutant import Mutant

MUTANTS = (
    Mutant(
        mechanism='a claim that loses its conditional write is repeated on what the store holds',
        file='src/balsamrail/forwarding/claim_part.py',
        old='            except StoreConflictError as conflict:\n                error = conflict\n',
        new='            except StoreConflictError:\n                self._add(group)\n'
        '                return\n',
        feature='features/claims.feature',
        scenario='Hosts that disagree about the owner of a part never claim a key twice',
    ),
    Mutant(
        mechanism='claims that wait together are written together',
        file='src/balsamrail/forwarding/claim_part.py',
        old='            group = dict(self._future_by_claim)\n',
        new='            group = dict(list(self._future_by_claim.items())[:1])\n',
        feature='features/claims.feature',
        scenario='Claims that arrive together share one store write',
    ),
)
