Feature: Settings are validated before use

  Scenario Outline: A settings file with <what>
    Given a base settings file
    And an overlay that contains <overlay>
    When the settings are checked
    Then the check ends with status 6 and names <named>

    Examples:
      | what                    | overlay                          | named                  |
      | an unknown key          | [limits] body_byte = 1           | limits.body_byte       |
      | a wrong type            | [limits] body_bytes = "x"        | limits.body_bytes      |
      | a value out of bounds   | [limits] body_bytes = -1         | limits.body_bytes      |
      | a key the base has not  | [policy] retries = 2             | policy                 |
      | a host that is not      | [hosts.nada] disk = true         | hosts.nada             |
      | an address not numeric  | [hosts.a1] entry = "localhost:1" | hosts.a1.entry         |
      | a port that is none     | [hosts.a1] entry = "127.0.0.1:0" | hosts.a1.entry         |
      | broken TOML             | [limits                          | overlay                |

  Scenario: A valid file
    Given a base settings file
    And an overlay that contains [limits] body_bytes = 1000
    When the settings are checked
    Then the check succeeds

  Scenario: A process exits on an invalid file without starting
    Given a base settings file
    And an overlay that contains [limits] body_byte = 1
    When a scheduler is started with them
    Then the check ends with status 6 and names limits.body_byte

  Scenario: Every command has help
    Then every command prints its help
