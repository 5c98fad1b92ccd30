/** IPv4 address in dotted decimal notation. */
const ipv4Pattern = /^(?:(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(?:\.(?!$)|$)){4}$/;
const labelPattern = /^[a-z0-9_](?:[a-z0-9_-]{0,61}[a-z0-9_])?$/i;
/** Last label of an address in numbers; URL parsers read a host that ends with one as an IPv4 address. */
const numericLabelPattern = /^(?:\d+|0x[0-9a-f]*)$/i;
/** Brackets of an IPv6 address; URL parsers check what they contain. */
const ipv6Pattern = /^\[[0-9a-f:.]+\]$/i;
const addressPattern = /^(\[[^\s\]]+\]|[^\s:]+):(\d{1,5})$/;

const maximumHostLength = 253;
const maximumPort = 65_535;

function isHost(host: string): boolean {
    if (ipv6Pattern.test(host)) {
        return true;
    }
    const labels = host.split(".");
    return numericLabelPattern.test(labels.at(-1)!) ?
        ipv4Pattern.test(host) :
        host.length <= maximumHostLength && labels.every(label => labelPattern.test(label));
}

/**
 * Tells whether a text is an address that connections can be opened to: an IP address, with brackets for IPv6, or a
 * host name, a colon and a port other than 0.
 *
 * @param text - text of another process
 * @returns true if clients of HTTP and gRPC accept it
 */
export function isAddress(text: string): boolean {
    const [, host = "", port = ""] = addressPattern.exec(text) ?? [];
    return isHost(host) && Number(port) >= 1 && Number(port) <= maximumPort && URL.canParse(`http://${text}`);
}
