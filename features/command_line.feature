Feature: The command line reports errors to scripts and operators

  Scenario Outline: A command fails
    Guards against scripts that cannot distinguish one failure from another.
    Given the files of an operator
    When "balsamrail <command>" is run
    Then the exit code is <code> and the output has "<text>"

    Examples:
      | command                                         | code | text                                                                  |
      | check good.json                                 | 0    | selokosmos                                                            |
      | check settings.json --format json               | 0    | "faults": []                                                          |
      | check no-such-file.json                         | 2    | no-such-file.json: No such file or directory                          |
      | check no-json.json                              | 2    | neither settings nor a declaration                                    |
      | check bad-settings.json                         | 3    | bad-settings.json: $.store.address: 'localhost:7000' is not an IP number |
      | check bad.json                                  | 4    | bad.json: $.services.diary.targets[0].slots: less than 1 (minimum)    |
      | check bad.json --format json                    | 4    | "$.services.diary.targets[0].slots: less than 1 (minimum)"            |
      | node --settings bad-settings.json               | 3    | settings_invalid: $.store.address                                     |
      | submit bad.json --settings settings.json        | 4    | document_invalid: $.services.diary                                    |
      | submit good.json --settings settings.json       | 6    | store_unavailable                                                     |
      | status 127.0.0.1:1                              | 7    | host_unreachable: host 127.0.0.1:1                                    |
      | dump 127.0.0.1:1                                | 7    | host_unreachable: host 127.0.0.1:1                                    |
      | lookup diary localhost:1                        | 2    | 'localhost:1' is not an IP number with a port                         |
      | nonsense                                        | 2    | nonsense                                                              |
      | --help                                          | 0    | 5 conflict with another                                               |
      | submit --help                                   | 0    | Example: balsamrail submit                                            |

  Scenario: Two operators submit declarations that were edited from the same revision
    Guards against the second submission silently reverting the first.
    Given the files of an operator
    And a store configured in the settings
    When "balsamrail submit good.json --settings settings.json --author ana" is run
    Then the exit code is 0 and the output has "revision 1"
    When "balsamrail submit other.json --settings settings.json --author eva --base-revision 0" is run
    Then the exit code is 5 and the output has "paths $.services.diary.priority"
    When "balsamrail submit other.json --settings settings.json --author eva --base-revision 1" is run
    Then the exit code is 0 and the output has "revision 2"

  Scenario: The demo is run
    Guards against a deployment whose processes cannot find or serve each other.
    When the demo of "selokosmos" is run once
    Then it prints a look-up and a booking that were answered with 200
    And all its processes have ended with exit code 0

  Scenario: The demo is interrupted several times
    Guards against a second Ctrl-C that aborts the shutdown and leaves processes behind.
    When the demo of "selokosmos" is interrupted 3 times while it runs
    Then all its processes have ended with exit code 0
    And the demo ends quietly with exit code 0

  Scenario: The launcher of a fleet is killed
    Guards against a second fleet that takes addresses that the first one's processes still use.
    When the launcher of a fleet is killed while a process of the fleet runs
    Then the next fleet of that network takes other addresses until that process has ended

  Scenario: An operation takes longer than a second
    Guards against an operator who cannot distinguish a slow store from a hung command.
    When operations that take 0.5 s and 1.2 s are awaited
    Then standard error shows progress only for the longer operation

  Scenario: Any value is logged
    Guards against log lines that a logfmt reader splits in the wrong places.
    When events with random values are written as lines
    Then a logfmt reader takes back the same values from one line each

  Scenario: A library logs a warning
    Guards against free text between the key=value lines of a host.
    When tornado logs "bad request" while the host's log takes the messages of libraries
    Then the line of the host's log has "event=library_log" and "text=\"bad request\""

  Scenario: An entry host imports only what it uses
    Guards against slow restarts: hosts are small, and what is imported is most of their start.
    When the module that starts an entry host is imported in a process of its own
    Then neither the command line nor the parts of a node are imported with it

  Scenario: An entry host ends at once
    Guards against a grace period of which a quarter of what is reserved for the end goes into freeing objects.

    When the module that starts an entry host fails in a process that tells when it frees its objects
    Then the process has the exit code and the message of the failure, and has freed nothing

  Scenario: The module that starts an entry host is given a wrong file
    Guards against a host that ends without a word or with another code than the command line.
    Given the files of an operator
    When the module that starts an entry host is run with "bad-settings.json" and with "none.json"
    Then it ends with the exit codes 3 and 2 and one line for each fault
