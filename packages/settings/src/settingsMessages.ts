import type { MessageTable } from "@persimmonpitch/findings/messageTable.js";

export type SettingsMessageId = "unreadable" | "syntax" | "missingKey" | "unknownKey" | "invalidValue";

export const settingsMessages: MessageTable<SettingsMessageId> = {
    unreadable: "The file cannot be read: {detail}.",
    syntax: "The text is not valid TOML: {detail}.",
    missingKey: "A value is required here: {detail}.",
    unknownKey: "The key \"{key}\" is not known here.",
    invalidValue: "The value is not valid: {detail}.",
};
