"""The HTTP handler of paths that no other handler serves."""

from tornado.web import RequestHandler

from balsamrail.errors import UnknownServiceError
from balsamrail.exchange.problem import problem_answer


class UnknownPathHandler(RequestHandler):
    """Answers any method with a problem, where tornado's own handler would answer with HTML."""

    def prepare(self) -> None:
        """Answer before the body is read."""
        problem = problem_answer(UnknownServiceError(detail='no service has this path'))
        self.set_status(problem.status)
        for name, value in problem.headers.get_all():
            self.set_header(name, value)
        self.finish(problem.body)
