Feature: Connections on which a peer sends data without end are closed

  Scenario Outline: A target sends <bytes> <pace> without end
    Guards against a host that reads without a limit, and against a truncated response that looks complete.

    When a target sends <bytes> without end, <pace>, to a caller with a timeout of <patience> s
    Then that caller gets the status <status> within <limit> s
    And the target has one recorded failure and its connection is closed
    And another caller gets responses throughout

    Examples:
      | bytes                      | pace         | patience | status | limit |
      | no HTTP                    | at once      | 5        | 502    | 2     |
      | empty lines                | at once      | 5        | 502    | 2     |
      | a status line              | at once      | 5        | 502    | 2     |
      | a header field             | at once      | 5        | 502    | 2     |
      | header fields              | at once      | 5        | 502    | 2     |
      | interim answers            | at once      | 5        | 502    | 2     |
      | a chunk extension          | at once      | 5        | 502    | 2     |
      | trailers                   | at once      | 5        | 502    | 2     |
      | a chunked body             | at once      | 5        | 502    | 4     |
      | chunks of a byte           | at once      | 0.5      | 504    | 1     |
      | a body without a length    | at once      | 5        | 502    | 4     |
      | answers of another request | at once      | 5        | 502    | 2     |
      | no HTTP                    | byte by byte | 0.5      | 504    | 1     |
      | empty lines                | byte by byte | 5        | 502    | 4     |
      | a status line              | byte by byte | 0.5      | 504    | 1     |
      | a header field             | byte by byte | 0.5      | 504    | 1     |
      | header fields              | byte by byte | 0.5      | 504    | 1     |
      | interim answers            | byte by byte | 0.5      | 504    | 1     |
      | a chunk extension          | byte by byte | 5        | 502    | 4     |
      | trailers                   | byte by byte | 5        | 502    | 4     |
      | a chunked body             | byte by byte | 0.5      | 504    | 1     |
      | chunks of a byte           | byte by byte | 0.5      | 504    | 1     |
      | a body without a length    | byte by byte | 0.5      | 504    | 1     |
      | answers of another request | byte by byte | 0.5      | 504    | 1     |

  Scenario Outline: Bytes after a complete response, <pace>
    Guards against taking bytes beyond the announced length for the next response.

    When a target sends a complete response and then bytes without end, <pace>, after <pause> s
    Then the caller gets exactly the complete response
    And the connection to the target is closed within 0.5 s without another request
    And the host counts the stray bytes once and logs the address of the target

    Examples:
      | pace         | pause |
      | at once      | 0     |
      | byte by byte | 0     |
      | at once      | 0.2   |
      | byte by byte | 0.2   |

  Scenario: Surplus bytes in the same segment as a complete response
    Guards against surplus bytes that are dropped without notice, since no further read sees them.

    When a target sends a complete response and further bytes in one segment
    Then the caller gets exactly the complete response
    And the connection to the target is closed within 0.5 s without another request
    And the host counts the stray bytes once and logs the address of the target

  Scenario: Several endless responses at once
    Guards against memory use that grows with the number of such responses.

    When 8 targets send bodies without end to a host of 64 MB while a ninth responds with 1 MB
    Then at most 16 MB of responses are buffered at any time
    And the responses of the ninth target are complete and the endless ones are aborted or time out

  Scenario Outline: Large complete responses to <readers> that read nothing
    Guards against memory use that grows with the number of such responses: they are complete, but
    wait until they can be written.

    Given a host of 64 MB and a second one, with targets that respond with 6 MB at once
    When 16 <readers> send requests for such responses and read nothing
    Then the responses take at most 64 MB of memory at each host
    And other callers get complete small responses throughout
    And once the readers have left, no response is accounted for

    Examples:
      | readers                      |
      | callers                      |
      | connections of another host  |
      | callers of a host that sends through the second one |

  Scenario: Large complete responses of a node to callers that read nothing
    Guards against memory use of a node that grows with the number of such responses.

    When 16 callers of a node of 64 MB request responses of 6 MB and read nothing
    Then they take at most 64 MB of memory, besides one that is being sent to the node
    And once the callers have left, the node accounts for no response

  Scenario: Endless responses that reach a host through another one
    Guards against a limit that holds only where a host calls the targets itself.

    Given a host of 64 MB and a second one, with targets that send bodies without end
    When 16 callers of a host that sends through the second one send requests for such responses and read nothing
    Then the responses take at most 64 MB of memory at each host
    And other callers get complete small responses throughout
    And once the readers have left, no response is accounted for

  Scenario: An idempotent request whose first response is endless
    Guards against a caller that gets no response because of one target with an endless response.

    When a target sends a chunked body without end to an idempotent request
    Then the caller gets the complete response of another target within 2 s

  Scenario: Memory accounting for any order of received bytes
    Guards against accounting that drifts or aborts a small response.

    When responses are opened, received and closed in any order
    Then the accounted memory stays within its limit and only a largest response is ever aborted

  Scenario: A body received in small pieces
    Guards against memory use of many times the length of the body.

    When a body arrives in 200000 pieces of 2 bytes
    Then the body takes less than 1 MB of memory

  Scenario Outline: A target responds to a health check with <bytes> <pace>
    Guards against health checks that never end.

    When a target that is down responds to its health check with <bytes> without end, <pace>
    Then the probe fails within 1.5 s, its connection is closed and the target stays down

    Examples:
      | bytes                   | pace         |
      | no HTTP                 | at once      |
      | header fields           | at once      |
      | interim answers         | at once      |
      | a chunk extension       | at once      |
      | trailers                | at once      |
      | a chunked body          | at once      |
      | a body without a length | at once      |
      | a status line           | byte by byte |
      | interim answers         | byte by byte |
      | a chunked body          | byte by byte |

  Scenario Outline: The store responds to a <call> with <bytes> <pace>
    Guards against store calls that never end.

    When the store responds to a <call> with <bytes> without end, <pace>
    Then the call fails as unavailable within 2 s and its connection is closed

    Examples:
      | call  | bytes                   | pace         |
      | list  | a status line           | at once      |
      | list  | header fields           | at once      |
      | list  | interim answers         | at once      |
      | list  | a chunk extension       | at once      |
      | list  | trailers                | at once      |
      | list  | a chunked body          | at once      |
      | list  | a body without a length | at once      |
      | list  | a header field          | byte by byte |
      | list  | a chunked body          | byte by byte |
      | watch | header fields           | at once      |
      | watch | a chunked body          | at once      |
      | watch | a chunked body          | byte by byte |

  Scenario Outline: An upstream of a node sends <bytes> <pace>
    Guards against attempts that never end in the forwarding of a node.

    When an upstream of a node sends <bytes> without end, <pace>
    Then the attempt fails within 1.5 s as one that may have run, and its connection is closed

    Examples:
      | bytes                   | pace         |
      | no HTTP                 | at once      |
      | a status line           | at once      |
      | header fields           | at once      |
      | interim answers         | at once      |
      | a chunk extension       | at once      |
      | trailers                | at once      |
      | a chunked body          | at once      |
      | a body without a length | at once      |
      | a status line           | byte by byte |
      | a chunked body          | byte by byte |

  Scenario Outline: The store of a node sends <bytes> <pace>
    Guards against calls that never end in the store client of a node.

    When the store of a node responds to a read with <bytes> without end, <pace>
    Then the read fails as unavailable within 5 s, with less than 24 MB buffered, and its connection is closed

    Examples:
      | bytes                   | pace         |
      | a status line           | at once      |
      | header fields           | at once      |
      | interim answers         | at once      |
      | a chunk extension       | at once      |
      | trailers                | at once      |
      | a chunked body          | at once      |
      | a body without a length | at once      |
      | a chunked body          | byte by byte |

  Scenario: Several endless responses to a node
    Guards against memory use that grows with the number of such responses.

    When 8 upstreams send bodies without end to a node of 16 MB
    Then at most 4 MB of responses are buffered at any time
