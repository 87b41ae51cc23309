"""Components that send requests through other hosts."""

from balsamrail.delivery.notice_handler import NoticeHandler
from balsamrail.delivery.target_codec import TargetCodec
from balsamrail.environment import Environment
from balsamrail.membership import Members
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.platform.proxy_protocol import ProxyProtocol
from balsamrail.proxying.proxy_admission import ProxyAdmission
from balsamrail.proxying.proxy_exchange import ProxyExchange
from balsamrail.proxying.proxy_host_selector import ProxyHostSelector
from balsamrail.proxying.request_proxy import RequestProxy


class ProxyComponents:
    """Creates the proxy for requests that this host cannot send to targets itself, and its limits for
    those of other hosts.

    :param codec: decodes what targets announce in the responses that other hosts pass on.
    """

    __slots__ = ('admission', 'exchange', 'proxy')

    def __init__(
        self,
        *,
        environment: Environment,
        members: Members,
        target_registry: TargetRegistry,
        codec: TargetCodec,
        notice_handler: NoticeHandler,
    ) -> None:
        self.admission = ProxyAdmission(paths=target_registry.paths)
        selector = ProxyHostSelector(environment=environment, members=members)
        self.exchange = ProxyExchange(
            environment=environment, members=members, selector=selector, codec=ProxyProtocol()
        )
        self.proxy = RequestProxy(
            environment=environment,
            target_registry=target_registry,
            selector=selector,
            exchange=self.exchange,
            codec=codec,
            notice_handler=notice_handler,
        )
