"""HTTP handler of lookups."""

from tornado.web import RequestHandler

from balsamrail.environment import Environment
from balsamrail.errors import RequestError
from balsamrail.forwarding import problem_response
from balsamrail.lookup.lookup_table import LookupTable


class LookupHandler(RequestHandler):
    """``GET /lookup/{service}``."""

    def initialize(self, *, environment: Environment, table: LookupTable) -> None:
        """Store the dependencies that tornado passes from the URL rule."""
        self._environment = environment
        self._table = table

    def get(self, service: str) -> None:
        """Respond with the hosts to use, or with a problem document."""
        caller = self.request.remote_ip or ''
        try:
            body = self._table.response_body(service=service, caller=caller)
        except RequestError as error:
            self._environment.metrics.count(f'lookups_{error.code}')
            self._send_problem(error)
            return
        self._environment.metrics.count('lookups')
        self.set_header('Content-Type', 'application/json')
        self.finish(body)

    def compute_etag(self) -> None:
        """Disable the ETag: the response changes every second, so a hash would be of no use."""

    def _send_problem(self, error: RequestError) -> None:
        problem = problem_response(error)
        self.set_status(problem.status)
        for name, value in problem.headers.get_all():
            self.set_header(name, value)
        self.finish(problem.body)
