package org.tallycart.core.ini;

/**
 * Something wrong in an INI text.
 *
 * @param file the file
 * @param line the line, from 1; 0 if the problem is not at a line
 * @param column the column, from 1; 0 if the problem is not at a column
 * @param message what is wrong
 * @param hint what to do about it; may be empty
 * @since 0.1
 */
public record Problem(String file, int line, int column, String message, String hint) {

	@Override
	public String toString() {
		String place = (this.line > 0) ? this.file + ":" + this.line + ":" + this.column : this.file;
		String text = place + ": " + this.message;
		return this.hint.isEmpty() ? text : text + " (" + this.hint + ")";
	}

}
