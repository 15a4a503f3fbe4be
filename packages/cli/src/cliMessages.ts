import type { Finding, Place } from "@persimmonpitch/findings/finding.js";
import { findingOf } from "@persimmonpitch/findings/finding.js";
import type { MessageData, MessageTable } from "@persimmonpitch/findings/messageTable.js";

export type CliMessageId =
    | "noCommand"
    | "unknownCommand"
    | "unknownOption"
    | "optionNotForCommand"
    | "invalidOption"
    | "unreadableOptions"
    | "missingArgument"
    | "extraArgument"
    | "settingsRequired"
    | "outputRequired"
    | "notAvailable"
    | "fileNotWritten"
    | "fileNotRead"
    | "wrongDeploymentKey"
    | "incompleteAnswer"
    | "answerOfAnother";

const messages: MessageTable<CliMessageId> = {
    noCommand: "A command is required; --help lists them.",
    unknownCommand: "The command \"{name}\" is not known; --help lists all commands.",
    unknownOption: "The option --{name} is not known.",
    optionNotForCommand: "The command \"{command}\" does not take the option --{name}.",
    invalidOption: "The option --{name} is not valid: {detail}.",
    unreadableOptions: "The options cannot be read: {detail}.",
    missingArgument: "The argument {name} is missing.",
    extraArgument: "The argument \"{value}\" is not expected.",
    settingsRequired: "The option --settings FILE is required, because the command talks to an entry.",
    outputRequired: "The option --output FILE is required.",
    notAvailable: "This build does not contain the function behind the command \"{name}\".",
    fileNotWritten: "The file cannot be written: {detail}.",
    fileNotRead: "The file cannot be read: {detail}.",
    wrongDeploymentKey: "A deployment key is 64 lower-case hexadecimal digits.",
    incompleteAnswer: "The answer is not complete: its body does not match its length and digest.",
    answerOfAnother: "The answer belongs to the request key \"{actual}\", not to \"{expected}\".",
};

/** Makes a finding of the command line. */
export const report = (id: CliMessageId, data: MessageData = {}, place: Place = {}): Finding =>
    findingOf(messages, id, place, data);
