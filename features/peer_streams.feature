Feature: A peer stream on a real socket survives faulty peers

  Scenario Outline: Bytes that are not messages drop the stream
    # Guards against a faulty peer that crashes the host, fills its memory or floods its log.
    Given a host that listens on a loopback socket
    When a peer says hello and then sends <bytes>
    Then its stream is closed, with one log line and a counter

    Examples:
      | bytes              |
      | garbage            |
      | an unknown message |
      | an oversized frame |

  Scenario: A peer that does not read loses its stream
    # Guards against a write buffer that grows without bound behind a slow peer.
    Given a host that listens on a loopback socket
    When a peer says hello and reads nothing while 20 MB are sent to it
    Then sending fails before 8 MB are buffered and the stream is dropped

  Scenario: Two hosts exchange messages over sockets
    # Guards against code that only works on the in-memory network.
    Given a host that listens on a loopback socket
    When a second host starts with the first as its only seed
    Then both know each other within 3 s and a flood reaches the other
