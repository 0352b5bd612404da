package org.tallycart.http;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.message.BasicLineParser;
import org.apache.hc.core5.http.message.BufferedHeader;
import org.apache.hc.core5.http.message.RequestLine;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parser of the lines of message heads that accepts only what RFC 9110 and RFC 9112
 * allow. The parsers of the library are lenient: what they accept may mean something else
 * to the next reader.
 * <p>
 * Immutable and thread-safe.
 *
 * @since 0.1
 */
public final class StrictLineParser extends BasicLineParser {

	/** The only instance. */
	public static final StrictLineParser INSTANCE = new StrictLineParser();

	/** Characters of a token (RFC 9110, section 5.6.2) beside letters and digits. */
	private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

	private static final int DELETE = 127;

	private static final String VERSION = "HTTP/1.";

	/** Position of the status, after the digit of the version and a blank. */
	private static final int STATUS_BEGIN = VERSION.length() + 2;

	private static final int STATUS_END = STATUS_BEGIN + 3;

	private StrictLineParser() {
	}

	@Override
	public RequestLine parseRequestLine(CharArrayBuffer line) throws ParseException {
		checkText(line, 0, "a request line");
		return super.parseRequestLine(line);
	}

	@Override
	public StatusLine parseStatusLine(CharArrayBuffer line) throws ParseException {
		boolean version = line.length() >= STATUS_END && line.substring(0, VERSION.length()).equals(VERSION)
				&& isDigit(line.charAt(VERSION.length())) && line.charAt(STATUS_BEGIN - 1) == ' ';
		boolean status = version && line.charAt(STATUS_BEGIN) >= '1' && line.charAt(STATUS_BEGIN) <= '5'
				&& isDigit(line.charAt(STATUS_BEGIN + 1)) && isDigit(line.charAt(STATUS_END - 1));
		if (!status || (line.length() > STATUS_END && line.charAt(STATUS_END) != ' ')) {
			throw new ParseException("a status line without HTTP/1 and a status from 100 to 599");
		}
		checkText(line, STATUS_END, "the reason of a status line");
		return super.parseStatusLine(line);
	}

	private static boolean isDigit(char c) {
		return c >= '0' && c <= '9';
	}

	@Override
	public Header parseHeader(CharArrayBuffer line) throws ParseException {
		checkField(line);
		return new BufferedHeader(line);
	}

	/**
	 * Check a line that holds a field.
	 * @param line the line
	 * @throws ParseException if its name is not a token or its value holds a control
	 * character
	 */
	public static void checkField(CharArrayBuffer line) throws ParseException {
		int colon = line.indexOf(':');
		if (colon <= 0) {
			throw new ParseException("a field without a name");
		}
		for (int i = 0; i < colon; i++) {
			if (!isTokenCharacter(line.charAt(i))) {
				throw new ParseException("character " + (int) line.charAt(i) + " in the name of a field");
			}
		}
		checkText(line, colon + 1, "the value of a field");
	}

	private static boolean isTokenCharacter(char c) {
		return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || isDigit(c) || TOKEN_SYMBOLS.indexOf(c) >= 0;
	}

	private static void checkText(CharArrayBuffer line, int begin, String what) throws ParseException {
		for (int i = begin; i < line.length(); i++) {
			char c = line.charAt(i);
			if ((c < ' ' && c != '\t') || c == DELETE) {
				throw new ParseException("control character " + (int) c + " in " + what);
			}
		}
	}

}
