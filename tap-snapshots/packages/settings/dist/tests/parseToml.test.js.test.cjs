/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/settings/dist/tests/parseToml.test.js > TAP > findings name file, line and key path > element of a list over several lines 1`] = `
settings.toml:8 peer[0].tags[2]: The value is not valid: expected string, received number. [invalidValue]
`

exports[`packages/settings/dist/tests/parseToml.test.js > TAP > findings name file, line and key path > empty 1`] = `
settings.toml name: A value is required here: expected string, received undefined. [missingKey]
`

exports[`packages/settings/dist/tests/parseToml.test.js > TAP > findings name file, line and key path > inline tables 1`] = `
settings.toml:4 peer[1].host: The value is not valid: expected string, received number. [invalidValue]
settings.toml:6 limits.queue: The value is not valid: Too small: expected number to be >0. [invalidValue]
`

exports[`packages/settings/dist/tests/parseToml.test.js > TAP > findings name file, line and key path > key that is named twice 1`] = `
settings.toml:2:1: The text is not valid TOML: trying to redefine an already defined table or value. [syntax]
`

exports[`packages/settings/dist/tests/parseToml.test.js > TAP > findings name file, line and key path > not a number 1`] = `
settings.toml:2 port: The value is not valid: expected number, received NaN. [invalidValue]
`

exports[`packages/settings/dist/tests/parseToml.test.js > TAP > findings name file, line and key path > prototype key 1`] = `
settings.toml:2:1: The text is not valid TOML: document contains an unsafe property. [syntax]
`

exports[`packages/settings/dist/tests/parseToml.test.js > TAP > findings name file, line and key path > quoted and dotted keys 1`] = `
settings.toml:3 limits.queue: The value is not valid: expected number, received string. [invalidValue]
settings.toml:4 "odd key!": The key "odd key!" is not known here. [unknownKey]
`

exports[`packages/settings/dist/tests/parseToml.test.js > TAP > findings name file, line and key path > several findings at once 1`] = `
settings.toml name: A value is required here: expected string, received undefined. [missingKey]
settings.toml:1 port: The value is not valid: Too big: expected number to be <=65535. [invalidValue]
settings.toml:5 peer[0].host: The value is not valid: expected string, received number. [invalidValue]
settings.toml:7 peer[1].host: A value is required here: expected string, received undefined. [missingKey]
settings.toml:8 peer[1].hots: The key "hots" is not known here. [unknownKey]
settings.toml:2 colour: The key "colour" is not known here. [unknownKey]
settings.toml:3 limit: The key "limit" is not known here. [unknownKey]
`

exports[`packages/settings/dist/tests/parseToml.test.js > TAP > findings name file, line and key path > text that breaks off 1`] = `
settings.toml:3:1: The text is not valid TOML: expected comma or end of structure. [syntax]
`

exports[`packages/settings/dist/tests/parseToml.test.js > TAP > findings name file, line and key path > valid 1`] = `
Object {
  "name": "a",
  "peer": Array [
    Object {
      "host": "b",
      "tags": Array [],
    },
  ],
  "port": 80,
}
`
