package org.tallycart.runtime.event;

/**
 * Text of others in log lines.
 * <p>
 * Thread-safe: holds no state.
 *
 * @since 0.1
 */
public final class LogText {

	private static final int MAX_CHARACTERS = 2_000;

	private LogText() {
	}

	/**
	 * Escape a text, so that it stays within its line and is printed as it is read.
	 * @param text the text
	 * @return the text with escapes such as {@code \\u000a} for control and format
	 * characters, separators of lines and unpaired surrogates; cut after 2,000 characters
	 */
	public static String escape(String text) {
		int length = Math.min(text.length(), MAX_CHARACTERS);
		if (length == text.length() && text.chars().allMatch(LogText::isPrintableAscii)) {
			return text;
		}
		StringBuilder escaped = new StringBuilder(length);
		int i = 0;
		while (i < length) {
			int character = text.codePointAt(i);
			if (isPrintable(character)) {
				escaped.appendCodePoint(character);
			}
			else {
				escaped.append(String.format("\\u%04x", character));
			}
			i += Character.charCount(character);
		}
		return (length < text.length()) ? escaped.append("...").toString() : escaped.toString();
	}

	private static boolean isPrintableAscii(int character) {
		return character >= ' ' && character <= '~';
	}

	private static boolean isPrintable(int character) {
		return switch (Character.getType(character)) {
			case Character.CONTROL, Character.FORMAT, Character.LINE_SEPARATOR, Character.PARAGRAPH_SEPARATOR,
					Character.SURROGATE ->
				false;
			default -> true;
		};
	}

}
