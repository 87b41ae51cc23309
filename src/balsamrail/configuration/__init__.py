"""The declaration, its checks and the record that says which one is in force."""

from balsamrail.configuration.accepted_text import AcceptedText
from balsamrail.configuration.candidate import Candidate
from balsamrail.configuration.cap import Cap
from balsamrail.configuration.checks import load_declaration
from balsamrail.configuration.declaration import Declaration
from balsamrail.configuration.link import Link
from balsamrail.configuration.record import RECORD_NAME, Record, decode_record, encode_record
from balsamrail.configuration.region import Region
from balsamrail.configuration.route import Route
from balsamrail.configuration.service import Service
from balsamrail.configuration.stopped import Stopped
from balsamrail.configuration.submit import submit_declaration
from balsamrail.configuration.submit_conflict import SubmitConflict
from balsamrail.configuration.submitted import Submitted
from balsamrail.configuration.target import Target
from balsamrail.configuration.tracker import Tracker
from balsamrail.configuration.trial import Trial
from balsamrail.configuration.trial_judge import TrialJudge

__all__ = (
    'RECORD_NAME',
    'AcceptedText',
    'Candidate',
    'Cap',
    'Declaration',
    'Link',
    'Record',
    'Region',
    'Route',
    'Service',
    'Stopped',
    'SubmitConflict',
    'Submitted',
    'Target',
    'Tracker',
    'Trial',
    'TrialJudge',
    'decode_record',
    'encode_record',
    'load_declaration',
    'submit_declaration',
)
