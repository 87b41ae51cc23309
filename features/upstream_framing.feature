Feature: An exchange with an upstream ends with a complete response or an error

  Scenario Outline: Each kind of response; guards against a truncated or misframed response that looks complete
    When the upstream responds to <method> with "<answer>" and then <end>
    Then the exchange gives <outcome>
    And the upstream connection is <connection>

    Examples:
      | method | answer                                                                          | end    | outcome | connection |
      | GET    | HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc                                 | waits  | abc     | kept       |
      | GET    | HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc            | waits  | abc     | closed     |
      | GET    | HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nabc                                 | waits  | abc     | closed     |
      | GET    | HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n              | waits  | abc     | closed     |
      | GET    | HTTP/1.1 200 OK\r\n\r\nabc                                                      | closes | error   | closed     |
      | GET    | HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc | waits  | abc     | kept       |
      | GET    | HTTP/1.1 100 Continue\r\n\r\n                                                   | closes | error   | closed     |
      | GET    | HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc   | waits  | error   | closed     |
      | GET    | HTTP/1.1 204 No Content\r\n\r\n                                                 | waits  | empty   | kept       |
      | GET    | HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\nabc                         | waits  | error   | closed     |
      | GET    | HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n                          | waits  | empty   | kept       |
      | HEAD   | HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n                                    | waits  | empty   | kept       |
      | GET    | HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd           | waits  | error   | closed     |
      | GET    | HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc   | waits  | error   | closed     |
      | GET    | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n      | waits  | abc     | kept       |
      | GET    | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\nabc\r\n0\r\n\r\n      | waits  | error   | closed     |
      | GET    | HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nabc                          | waits  | error   | closed     |
      | GET    | not HTTP\r\n\r\n                                                                | waits  | error   | closed     |
      | GET    | HTTP/1.1 000 X\r\nContent-Length: 3\r\n\r\nabc                                  | waits  | error   | closed     |
      | GET    | HTTP/1.1 099 X\r\nContent-Length: 3\r\n\r\nabc                                  | waits  | error   | closed     |
      | GET    | HTTP/1.1 600 X\r\nContent-Length: 3\r\n\r\nabc                                  | waits  | error   | closed     |
      | GET    | HTTP/1.1 999 X\r\nContent-Length: 3\r\n\r\nabc                                  | waits  | error   | closed     |
      | GET    | HTTP/1.1 1000 X\r\nContent-Length: 3\r\n\r\nabc                                 | waits  | error   | closed     |
      | GET    | HTTP/1.1 599 X\r\nContent-Length: 3\r\n\r\nabc                                  | waits  | abc     | kept       |

  Scenario Outline: Truncation at every byte; guards against forwarding a truncated response
    When the upstream truncates its response "<answer>" to <method> after each of its bytes by <way>
    Then each truncated response gives an error, and the whole one gives <whole>

    Examples:
      | method | answer                                                                                   | way   | whole |
      | GET    | HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc                                          | end   | abc   |
      | GET    | HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc                                          | reset | abc   |
      | GET    | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n    | end   | abcde |
      | GET    | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n    | reset | abcde |
      | GET    | HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na | end   | a     |
      | GET    | HTTP/1.1 200 OK\r\nX: y\r\n\r\nabc                                                       | end   | error |
      | GET    | HTTP/1.1 200 OK\r\nX: y\r\n\r\nabc                                                       | reset | error |
      | HEAD   | HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n                                             | end   | empty |
      | HEAD   | HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n                                             | reset | empty |

  Scenario: A response with the id of another request is discarded with its connection; guards against swapped responses
    When the upstream echoes the id of another request
    Then the exchange gives error
    And the upstream connection is closed

  Scenario: A late response is discarded; guards against reuse of a connection that timed out
    When the upstream responds to the first request after its deadline and to the next one at once
    Then the exchanges give "error second"

  Scenario: A cancelled exchange closes its connection; guards against upstream work for callers that disconnected
    When an exchange is cancelled while the upstream works
    Then the upstream saw the connection close

  Scenario: Bytes that arrive on an idle connection; guards against taking them for the next response
    When the upstream sends a stray response after the first one
    Then the exchanges give "first second"
    And 2 upstream connections were opened

  Scenario Outline: Reuse; guards against requests on connections that the upstream may be closing
    When two <kind> requests are sent <pause> s apart
    Then <count> upstream connections were opened

    Examples:
      | kind       | pause | count |
      | idempotent | 0.1   | 1     |
      | fresh      | 0.1   | 1     |
      | fresh      | 1.1   | 2     |
      | idempotent | 1.1   | 1     |
      | idle       | 0.3   | 2     |
      | old        | 0.3   | 2     |

  Scenario: The limit on connections; guards against more connections than a target accepts
    When 5 requests are sent at once to a target with 3 connections
    Then 3 upstream connections were opened
    And 2 of the requests provably did not run

  Scenario: A large body both ways; guards against data loss when a body is written separately from its headers
    When a body of 3 MB is sent and echoed
    Then the exchange gives the same 3 MB

  Scenario: The socket options; guards against dead connections that are not detected
    When an upstream connection is opened
    Then its socket has no delay, keepalive and a user timeout of 5000 ms

  Scenario: A crashed target; guards against crashes that are taken for slow responses
    When a listening and a stopped target are probed
    Then only the stopped target counts as crashed
