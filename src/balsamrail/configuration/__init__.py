"""The declaration, its validation, and the stored record of the active declaration."""

from balsamrail.configuration.accepted_declaration import AcceptedDeclaration
from balsamrail.configuration.candidate import Candidate
from balsamrail.configuration.cap import Cap
from balsamrail.configuration.checks import load_declaration
from balsamrail.configuration.declaration import Declaration
from balsamrail.configuration.link import Link
from balsamrail.configuration.record import RECORD_NAME, Record, decode_record, encode_record
from balsamrail.configuration.region import Region
from balsamrail.configuration.route import Route
from balsamrail.configuration.service import Service
from balsamrail.configuration.stopped_trial import StoppedTrial
from balsamrail.configuration.submit import submit_declaration
from balsamrail.configuration.submit_conflict import SubmitConflict
from balsamrail.configuration.submitted import Submitted
from balsamrail.configuration.target import Target
from balsamrail.configuration.tracker import Tracker
from balsamrail.configuration.trial import Trial
from balsamrail.configuration.trial_evaluator import TrialEvaluator

__all__ = (
    'RECORD_NAME',
    'AcceptedDeclaration',
    'Candidate',
    'Cap',
    'Declaration',
    'Link',
    'Record',
    'Region',
    'Route',
    'Service',
    'StoppedTrial',
    'SubmitConflict',
    'Submitted',
    'Target',
    'Tracker',
    'Trial',
    'TrialEvaluator',
    'decode_record',
    'encode_record',
    'load_declaration',
    'submit_declaration',
)
