import { getEnvironmentVariableName, type SectionTable } from "./resolveSections.js";
import { allSections } from "./settings.js";

const introduction = `# Settings

This page is generated from the definitions in \`src/node/settings\` by \`goldcrestpoint settings > docs/settings.md\`;
a test compares the two.

A setting is taken from the first of these sources that contains it: the flag \`--set SECTION.KEY=VALUE\`, the
environment variable \`GOLDCRESTPOINT_SECTION_KEY\`, the INI file (\`--settings FILE\`), the default. The unit is part
of the key's name, so values are written without one. An invalid setting ends the program with exit code 2 and a line
with source, section, key, value and what is allowed. \`GOLDCRESTPOINT_CONFIG\` holds the path of the file if no flag names
one. Several programs can share a file: each program checks all sections and uses those that it needs.

| Program | Sections |
| --- | --- |
| \`entry\` | instance, platform, relay, hold, placement, routing, admission, retry, idempotency, log |
| \`agent\` | instance, platform, relay, hold, backendServer, distribution, admission, idempotency, log |
| gateway (platform) | instance, platform, gateway, replica, routing, admission, retry, log |
| agent (platform) | instance, platform, gateway, replica, weightAgent, distribution, log |
| \`validate\`, \`plan\`, \`apply\`, \`status\`, \`rollback\`, \`explain\` | platform, placement (retention), operator, log |
| \`stand-in\` (tests and demo only) | standInPlatform, standInEngine, standInService, log |
`;

function escapeCell(text: string): string {
    return text.replaceAll("|", "\\|");
}

/**
 * Renders the reference of all settings as Markdown.
 *
 * @returns the page docs/settings.md
 */
export function renderSettingsDocumentation(): string {
    const sections = Object.entries<SectionTable[string]>(allSections).map(([section, definition]) => {
        const rows = Object.entries(definition).map(([key, { allowed, defaultText, documentation }]) => {
            const defaultCell = defaultText === "" ? "(empty)" : `\`${defaultText}\``;
            const variable = getEnvironmentVariableName(section, key);
            return `| \`${key}\` | ${defaultCell} | ${escapeCell(allowed)} | ${
                escapeCell(documentation)
            } \`${variable}\` |`;
        });
        return [`## [${section}]`, "", "| Key | Default | Allowed | Meaning |", "| --- | --- | --- | --- |", ...rows]
            .join("\n");
    });
    return `${[introduction, ...sections.map(section => `${section}\n`)].join("\n")}`;
}
