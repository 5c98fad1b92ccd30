import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import ts from "typescript";

/** Message of a log line in the source code. */
export interface LoggedMessage {
    readonly file: string;
    readonly message: string;
}

const levelMethods: ReadonlySet<string> = new Set(["debug", "info", "warn", "error"]);

function listSourceFiles(directory: string): string[] {
    return readdirSync(directory, { recursive: true, encoding: "utf8" })
        .filter(file => file.endsWith(".ts") && !file.includes("generated"))
        .map(file => join(directory, file));
}

function isLoggerCall(call: ts.CallExpression): boolean {
    const { expression } = call;
    if (ts.isPropertyAccessExpression(expression)) {
        return (levelMethods.has(expression.name.text) && call.arguments.length === 2) ||
            expression.name.text === "logEvent";
    }
    return ts.isIdentifier(expression) && expression.text === "logEvent";
}

/** Lists the texts that an expression may evaluate to; `*` stands for each value in a template. */
function readTexts(expression: ts.Expression): string[] {
    if (ts.isStringLiteralLike(expression)) {
        return [expression.text];
    }
    if (ts.isConditionalExpression(expression)) {
        return [...readTexts(expression.whenTrue), ...readTexts(expression.whenFalse)];
    }
    return ts.isTemplateExpression(expression) ?
        [expression.head.text + expression.templateSpans.map(({ literal }) => `*${literal.text}`).join("")] :
        [];
}

/**
 * Lists the messages of all log lines in the source code.
 *
 * @param directories - directories with TypeScript files
 * @returns a row for each message of each logger call
 */
export function listLoggedMessages(directories: readonly string[]): LoggedMessage[] {
    const found: LoggedMessage[] = [];
    for (const file of directories.flatMap(listSourceFiles)) {
        const source = ts.createSourceFile(file, readFileSync(file, "utf8"), ts.ScriptTarget.Latest, true);
        const visit = (node: ts.Node): void => {
            if (ts.isCallExpression(node) && isLoggerCall(node)) {
                found.push(...readTexts(node.arguments[1]!).map(message => ({ file, message })));
            }
            ts.forEachChild(node, visit);
        };
        visit(source);
    }
    return found;
}
