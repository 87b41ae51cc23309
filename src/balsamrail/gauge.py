"""A metric that is measured when the metrics are read."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True, frozen=True)
class Gauge:
    """A single value, or one value for each value of a label::

        Gauge(name='targets_known', value_by_label={'diary': 16}, label='service').samples()

    :param name: the metric name, with its unit as suffix if it has one.
    :param value: the value if there is no label.
    :param label: the name of the label, empty if there is none.
    """

    name: str
    value: float = 0
    label: str = ''
    value_by_label: Mapping[str, float] = field(default_factory=dict)

    def samples(self) -> dict[str, float]:
        """Return the values by the label suffix of the metric name in the text format."""
        if not self.label:
            return {'': self.value}
        return {
            f'{{{self.label}="{_escape(text)}"}}': value
            for text, value in sorted(self.value_by_label.items())
        }


def _escape(text: str) -> str:
    return text.replace('\\', r'\\').replace('"', r'\"').replace('\n', r'\n')
