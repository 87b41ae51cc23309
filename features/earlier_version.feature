Feature: Hosts of the version before run beside hosts of this version

  Scenario Outline: A request crashes its targets at <crashed_at>, and one host after the other is replaced
    Guards against hosts of two versions that close each other's streams, or that do not count each
    other's crash reports, while a release replaces them one after the other.

    Given two hosts of the version before and one of this version
    Then each of them names all three, and none has closed a stream as invalid
    When a request crashes 3 targets at <crashed_at>
    Then all hosts refuse the request, and 3 targets have crashed
    When the hosts of the version before are replaced one after the other
    Then each of them names all three, and none has closed a stream as invalid
    And all hosts refuse the request, and 3 targets have crashed

    Examples:
      | crashed_at                         |
      | the host of this version           |
      | one of the version before and it   |

  Scenario: Recorded messages of the version before
    Guards against a change of the wire format where the history of the repository is not at hand.

    Then the messages that this version adds nothing to are encoded as the version before encoded them
