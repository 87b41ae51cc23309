Feature: Peer streams over real sockets tolerate faulty peers

  Scenario Outline: Bytes that are not messages close the stream
    # Guards against a faulty peer that crashes the host, exhausts its memory or floods its log.
    Given a host that listens on a loopback socket
    When a peer sends Hello and then <bytes>
    Then its stream is closed, logged once and counted

    Examples:
      | bytes              |
      | garbage            |
      | an unknown message |
      | an oversized frame |

  Scenario: A peer that does not read loses its stream
    # Guards against a write buffer that grows without bound while a peer is slow.
    Given a host that listens on a loopback socket
    When a peer sends Hello and reads nothing while 20 MB are sent to it
    Then sending fails before 8 MB are buffered and the stream is closed

  Scenario: Two hosts exchange messages over sockets
    # Guards against code that works only on the in-memory network.
    Given a host that listens on a loopback socket
    When a second host starts with the first as its only seed
    Then both know each other within 3 s and a flood reaches the second host
