Feature: Processes of scenarios get ports of their own

  Scenario: Addresses for many hosts
    Guards against processes that never start, as another socket has one of their ports.

    When the settings of 400 hosts are made
    Then no two of their addresses are equal
    And the kernel assigns none of their ports to other sockets
