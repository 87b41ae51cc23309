"""The HTTP handler for unknown paths."""

from tornado.web import RequestHandler

from balsamrail.errors import UnknownServiceError
from balsamrail.exchange.problem import problem_response


class UnknownPathHandler(RequestHandler):
    """Responds to any method with problem details instead of the HTML page of tornado."""

    def prepare(self) -> None:
        """Respond before the body is read."""
        problem = problem_response(UnknownServiceError(detail='no service has this path'))
        self.set_status(problem.status)
        for name, value in problem.headers.get_all():
            self.set_header(name, value)
        self.finish(problem.body)
