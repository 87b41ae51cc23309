"""A figure that is measured when the metrics are read."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True, frozen=True)
class Gauge:
    """One figure, or one for each value of a label::

        Gauge(name='targets_known', value_by_label={'diary': 16}, label='service').samples()

    :param name: with the unit at its end, if it has one.
    :param value: the figure, if there is no label.
    :param label: the label's name, empty if there is none.
    """

    name: str
    value: float = 0
    label: str = ''
    value_by_label: Mapping[str, float] = field(default_factory=dict)

    def samples(self) -> dict[str, float]:
        """Return the figures by what follows the name in the metrics' text."""
        if not self.label:
            return {'': self.value}
        return {
            f'{{{self.label}="{_escape(text)}"}}': value
            for text, value in sorted(self.value_by_label.items())
        }


def _escape(text: str) -> str:
    return text.replace('\\', r'\\').replace('"', r'\"').replace('\n', r'\n')
