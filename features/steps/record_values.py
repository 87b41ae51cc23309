"""Records as plain JSON data for the steps of trackers, writes and trials."""

from declaration_steps import VALID


def text_value(name):
    return {**VALID, 'deployment': name}


def record_value(*, number, revision, candidate_revision=None, **trial):
    candidate = None
    if candidate_revision is not None:
        candidate = {
            'revision': candidate_revision,
            'text': text_value(f'revision-{candidate_revision}'),
            'author': 'eleni',
            'since': 0,
            'trial': {'share': 0.5, 'duration_s': 60, **trial},
        }
    return {
        'number': number,
        'accepted': {'revision': revision, 'text': text_value(f'revision-{revision}')},
        'candidate': candidate,
        'stopped': None,
        'mark': f'm{number}',
    }
