import { expect } from "earl";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { events, renderEventsDocumentation } from "../../../src/node/logging/index.js";
import { listLoggedMessages } from "./loggedMessages.js";

const decisionSuffix = " decision";

describe("table of events", () => {
    const logged = listLoggedMessages(["src", "platform"]).filter(({ file }) => !file.includes("standIn"));

    it("lists every line that the programs write", () => {
        // The messages of decisions are created by a template.
        const missing = logged.filter(({ message }) => !events.has(message) && message !== `*${decisionSuffix}`);
        expect(missing).toEqual([]);
    });

    it("lists no line that nothing writes", () => {
        const messages = new Set(logged.map(({ message }) => message));
        // Written by the destination itself, without a logger.
        messages.add("log lines dropped");
        const unused = [...events.keys()].filter(message =>
            !messages.has(message) && !message.endsWith(decisionSuffix)
        );
        expect(unused).toEqual([]);
    });

    it("is what docs/events.md shows", () => {
        expect(readFileSync("docs/events.md", "utf8")).toEqual(renderEventsDocumentation());
    });
});
