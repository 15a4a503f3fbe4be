import type { Finding } from "@persimmonpitch/findings/finding.js";
import meow from "meow";
import { err, ok } from "true-myth/result";
import type { Result } from "true-myth/result";
import { cliFlagsSchema, commonFlags, flagHelp } from "./cliFlags.js";
import type { CliFlags, FlagName } from "./cliFlags.js";
import { report } from "./cliMessages.js";
import { commands, isCommandName } from "./commands.js";
import type { CommandName } from "./commands.js";
import { optionName } from "./helpText.js";

/** A command line that has been checked. */
export type CommandLine =
    | { readonly kind: "help"; }
    | { readonly kind: "version"; }
    | {
        readonly kind: "command";
        readonly name: CommandName;
        readonly args: readonly string[];
        readonly flags: CliFlags;
    };

interface Words {
    readonly input: readonly string[];
    readonly flags: Readonly<Record<string, unknown>>;
}

const flagOptions = Object.fromEntries(Object.entries(flagHelp).map(([name, { type }]) => [name, { type }] as const));

const split = (argv: readonly string[]): Result<Words, readonly Finding[]> => {
    try {
        // Help, version and unknown options are handled here: meow would end the process by itself.
        const { input, flags } = meow("", {
            importMeta: import.meta,
            argv,
            pkg: { name: "persimmonpitch" },
            flags: flagOptions,
            autoHelp: false,
            autoVersion: false,
            booleanDefault: undefined,
        });
        return ok({ input, flags });
    }
    catch (error) {
        // meow throws for an option that is given twice.
        const detail = error instanceof Error ? error.message.replace(/\.$/, "") : String(error);
        return err([report("unreadableOptions", { detail })]);
    }
};

const isFlagName = (name: string): name is FlagName => Object.hasOwn(flagHelp, name);

const parseFlags = (flags: Words["flags"]): Result<CliFlags, readonly Finding[]> => {
    const given = Object.entries(flags).filter(([, value]) => value !== undefined);
    const unknown = given
        .filter(([name]) => !isFlagName(name))
        .map(([name]) => report("unknownOption", { name: optionName(name) }));
    const checked = cliFlagsSchema.safeParse(Object.fromEntries(given));
    const invalid = (checked.error?.issues ?? []).map(({ path, message }) =>
        report("invalidOption", { name: optionName(String(path[0])), detail: message.replace("Invalid input: ", "") })
    );
    return checked.success && unknown.length === 0 ? ok(checked.data) : err([...unknown, ...invalid]);
};

const checkArguments = (names: readonly string[], args: readonly string[]): readonly Finding[] => [
    ...names.filter((name, index) => !name.startsWith("[") && args[index] === undefined)
        .map(name => report("missingArgument", { name })),
    ...args.slice(names.length).map(value => report("extraArgument", { value })),
];

const checkFlags = (name: CommandName, flags: CliFlags): readonly Finding[] => {
    const allowed: readonly string[] = [...commonFlags, ...commands[name].flags];
    return Object.keys(flags)
        .filter(flag => !allowed.includes(flag))
        .map(flag => report("optionNotForCommand", { command: name, name: optionName(flag) }));
};

const toCommandLine = (
    [name, ...args]: readonly string[],
    flags: CliFlags,
): Result<CommandLine, readonly Finding[]> => {
    if (flags.help === true) {
        return ok({ kind: "help" });
    }
    if (flags.version === true) {
        return ok({ kind: "version" });
    }
    if (name === undefined) {
        return err([report("noCommand")]);
    }
    if (!isCommandName(name)) {
        return err([report("unknownCommand", { name })]);
    }
    const findings = [...checkArguments(commands[name].args, args), ...checkFlags(name, flags)];
    return findings.length > 0 ? err(findings) : ok({ kind: "command", name, args, flags });
};

/** Splits and checks the words after the name of the program; all findings are reported together. */
export const parseCommandLine = (argv: readonly string[]): Result<CommandLine, readonly Finding[]> =>
    split(argv).andThen(({ input, flags }) => parseFlags(flags).andThen(checked => toCommandLine(input, checked)));
