import fc from "fast-check";
import t from "tap";
import { parseCommandLine } from "../src/commandLine.js";
import { commands, isCommandName } from "../src/commands.js";

const SEED = 20_261_204;
const RUNS = 10_000;

const word = fc.oneof(
    fc.constantFrom(
        "load",
        "show",
        "FILE",
        "--json",
        "--no-json",
        "--json=1",
        "--if-version=7",
        "--if-version",
        "--timeout-ms=-1",
        "--settings",
        "--settings=a",
        "--register=a",
        "--",
        "-",
        "-x",
        "--__proto__=1",
        "--constructor",
        "--help",
        "",
    ),
    fc.string({ maxLength: 8 }),
);

// Guards against a process that ends with a stack trace, and against words that are passed over in silence.
void t.test("malformed command lines give findings or a command with its own arguments", t => {
    let accepted = 0;
    fc.assert(
        fc.property(fc.array(word, { maxLength: 5 }), argv =>
            parseCommandLine(argv).match({
                Ok: line => {
                    accepted += 1;
                    return line.kind !== "command"
                        || (isCommandName(line.name) && line.args.length <= commands[line.name].args.length);
                },
                Err: findings => findings.length > 0,
            })),
        { numRuns: RUNS, seed: SEED },
    );
    t.ok(accepted > 0 && accepted < RUNS, "the inputs contain valid and invalid command lines");
    t.end();
});
